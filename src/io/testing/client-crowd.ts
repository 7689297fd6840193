/**
A crowd of connections whose clients do not behave, for features and soaks: they send without end, read nothing, begin what they do not finish, and connect again when a server closes their connection. A crowd is bounded in time, in bytes and in connections.
*/
import type {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setImmediate as immediate, setTimeout as pause} from 'node:timers/promises';
import {parseAddress} from '../address.js';

/** What each connection of a crowd does. */
export type CrowdForm = {
	/** What a connection sends, piece by piece; it may never end. The connection stays open after the last piece. */
	readonly pieces: (connection: number) => Iterable<Buffer>;
	/** Whether answers are read. */
	readonly isRead?: boolean;
	/** What a connection does after its last piece; it stays open by default. */
	readonly end?: 'halfClose' | 'reset' | 'close';
	/** Pause between two pieces, in milliseconds. */
	readonly paceMs?: number;
};

/** Size and duration of a crowd. */
export type CrowdPlan = {
	readonly address: string;
	readonly connections: number;
	/** Duration of the play, in milliseconds. */
	readonly ms: number;
};

/** What a crowd has done. */
export type CrowdCounts = {
	bytesSent: number;
	connectionsMade: number;
};

const reconnectMs = 20;

const maxBytesSent = 2_000_000_000;

const maxConnectionsMade = 100_000;

const endings: Readonly<Record<NonNullable<CrowdForm['end']>, (socket: Socket) => void>> = {
	halfClose(socket) {
		socket.end();
	},
	reset(socket) {
		socket.resetAndDestroy();
	},
	close(socket) {
		socket.destroySoon();
	},
};

/** One play of a crowd. */
class Crowd {
	readonly counts: CrowdCounts = {bytesSent: 0, connectionsMade: 0};
	readonly #form: CrowdForm;
	readonly #plan: CrowdPlan;
	readonly #sockets = new Set<Socket>();
	#isOver = false;

	constructor(form: CrowdForm, plan: CrowdPlan) {
		this.#form = form;
		this.#plan = plan;
	}

	async play() {
		const members = Array.from({length: this.#plan.connections}, async (_, i) => this.#playMember(i));
		await pause(this.#plan.ms);
		this.#isOver = true;
		this.#sockets.forEach(socket => {
			socket.destroy();
		});
		await Promise.all(members);
	}

	get #mayGoOn(): boolean {
		return !this.#isOver && this.counts.bytesSent < maxBytesSent && this.counts.connectionsMade < maxConnectionsMade;
	}

	async #playMember(member: number) {
		while (this.#mayGoOn) {
			this.counts.connectionsMade += 1;
			await this.#playConnection(member);
			await pause(this.#form.end === 'close' ? 0 : reconnectMs);
		}
	}

	/** Resolves when the connection is closed. */
	async #playConnection(member: number) {
		const {host, port} = parseAddress(this.#plan.address)!;
		const socket = connect({host, port, noDelay: true});
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		const closed = new Promise<void>(resolve => {
			socket.once('close', () => {
				this.#sockets.delete(socket);
				resolve();
			});
		});
		if (this.#form.isRead) {
			socket.resume();
		}

		await Promise.all([this.#write(socket, member, closed), closed]);
	}

	async #write(socket: Socket, member: number, closed: Promise<void>) {
		const {pieces, paceMs, end} = this.#form;
		for (const piece of pieces(member)) {
			if (socket.destroyed || !this.#mayGoOn) {
				return;
			}

			this.counts.bytesSent += piece.length;
			const isTaken = socket.write(piece);
			await (isTaken
				? this.#pauseBetween(paceMs)
				: Promise.race([closed, new Promise(resolve => {
					socket.once('drain', resolve);
				})]));
		}

		if (end && !socket.destroyed) {
			endings[end](socket);
		}
	}

	async #pauseBetween(paceMs: number | undefined) {
		await (paceMs === undefined ? immediate() : pause(paceMs));
	}
}

/** Plays a crowd. Resolves when all its connections are closed. */
export const playCrowd = async (form: CrowdForm, plan: CrowdPlan): Promise<CrowdCounts> => {
	const crowd = new Crowd(form, plan);
	await crowd.play();
	return crowd.counts;
};
