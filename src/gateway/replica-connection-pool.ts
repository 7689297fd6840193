/**
Kept connections to one replica, one request at a time on each. They are kept here and not in a pool of the HTTP library, because what becomes of a request depends on its connection: whether it is new, whether its neighbours went silent, and whether its socket failed while an answer without a length was under way.
*/
import buildConnector from 'undici/lib/core/connect.js';
import Client from 'undici/lib/dispatcher/client.js';
import type {Dispatcher} from 'undici';
import type {Clock, Disposable} from '../common/services.js';
import {SocketWatch} from '../io/socket-watch.js';

/** An idle connection is closed after this long where the replica announces no time of its own, in milliseconds; below the 5 s that Node's and most other servers keep one. */
const idleMs = 4000;

/** The replica's announced idle time is shortened by this much, in milliseconds, so that a request does not cross the replica's close. */
const idleMarginMs = 1000;

/** Undici's own watch on connecting; the attempt has a shorter one, with exact timing. */
const connectLimitMs = 5000;

/** A socket stays writable after the replica's end of the connection, so that it can be asked whether it was reset. */
const connect = buildConnector({timeout: connectLimitMs, allowH2: false, allowHalfOpen: true});

/** One connection, or the attempt to make it. It carries one request at a time. */
export class ReplicaConnection implements Disposable {
	/** Since when it has carried no request, in milliseconds on the monotonic clock. */
	idleSince = Infinity;
	readonly #client: Client;
	readonly #siblings: ReplicaConnectionPool;
	readonly #socketWatch = new SocketWatch();
	#isOver = false;
	#isNew = true;

	/**
	@param address - `ip:port`.
	@param siblings - Hears when the connection can carry no more requests.
	*/
	constructor(address: string, siblings: ReplicaConnectionPool) {
		this.#siblings = siblings;
		this.#client = new Client(`http://${address}`, {
			connect: (options, callback) => {
				connect(options, (...outcome) => {
					this.#socketWatch.follow(outcome[1]);
					callback(...outcome);
				});
			},
			pipelining: 1,
			keepAliveTimeout: idleMs,
			keepAliveTimeoutThreshold: idleMarginMs,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		this.#client.once('disconnect', () => {
			this.#isOver = true;
			siblings.removeConnection(this);
		});
	}

	get isClosed(): boolean {
		return this.#isOver;
	}

	/** Whether no request has been answered on it: it is made with its first one. */
	get isNew(): boolean {
		return this.#isNew;
	}

	/** Whether the replica reset the connection rather than ended it; to be asked at the end of an answer without a length, before anything else happens to the socket. */
	async wasReset(): Promise<boolean> {
		return this.#socketWatch.wasReset();
	}

	dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
		this.#client.dispatch(options, handler);
	}

	/** The request was answered in full and as it should be: the connection is free for another. */
	release(): void {
		this.#isNew = false;
		this.#siblings.returnToPool(this);
	}

	/** Closes the connection at once, which tells the replica to drop what it runs on it. */
	discard(): void {
		this.#siblings.removeConnection(this);
		this.dispose();
	}

	/** Closes the idle connections to the same replica: what has gone silent on one may have on all of them. */
	closeIdleSiblings(): void {
		this.#siblings.closeIdle();
	}

	dispose(): void {
		this.#isOver = true;
		void this.#client.destroy().catch(() => undefined);
	}
}

/** The connections to one replica. */
export class ReplicaConnectionPool implements Disposable {
	readonly #address: string;
	readonly #clock: Clock;
	readonly #all = new Set<ReplicaConnection>();
	#idle: ReplicaConnection[] = [];
	#made = 0;
	#isRetired = false;

	/** @param address - `ip:port`. */
	constructor(address: string, clock: Clock) {
		this.#address = address;
		this.#clock = clock;
	}

	/** Connections that are open or being made. */
	get size(): number {
		return this.#all.size;
	}

	/** Connections made so far. */
	get createdCount(): number {
		return this.#made;
	}

	/**
	A connection to send one request on: the one that was used last, since it is the least likely to be closed by the replica meanwhile. After a pause of this process, idle ones may have been closed without their timers having run.

	@param limit - Connections that may be open at once.
	@param mustBeNew - Whether a kept connection will not do.
	@returns Nothing when all are busy.
	*/
	acquire(limit: number, mustBeNew = false): ReplicaConnection | undefined {
		this.#closeOutdated();
		return mustBeNew ? this.#makeInsteadOfIdle(limit) : this.#idle.pop() ?? this.#make(limit);
	}

	/**
	Gives a connection back after a complete answer.

	It is used again only after the bytes that have already arrived were looked at: a faulty replica may send a second answer behind the first, which must not be taken for that of the next request.
	*/
	returnToPool(connection: ReplicaConnection): void {
		if (this.#isRetired) {
			connection.discard();
			return;
		}

		setImmediate(() => {
			if (!connection.isClosed && this.#all.has(connection)) {
				connection.idleSince = this.#clock.now();
				this.#idle.push(connection);
			}
		});
	}

	/** A connection can carry no more requests. */
	removeConnection(connection: ReplicaConnection): void {
		this.#all.delete(connection);
		this.#idle = this.#idle.filter(idle => idle !== connection);
	}

	/** Closes the idle connections. */
	closeIdle(): void {
		this.#idle.forEach(connection => {
			this.#all.delete(connection);
			connection.dispose();
		});
		this.#idle = [];
	}

	/** Closes each connection as soon as no request is under way on it: a replica that has left serves those to the end. */
	drain(): void {
		this.#isRetired = true;
		this.closeIdle();
	}

	dispose(): void {
		this.#all.forEach(connection => {
			connection.dispose();
		});
		this.#all.clear();
		this.#idle = [];
	}

	/** Where the limit is reached, the connection that has been idle for longest makes room. */
	#makeInsteadOfIdle(limit: number): ReplicaConnection | undefined {
		if (this.#all.size >= limit) {
			this.#idle[0]?.discard();
		}

		return this.#make(limit);
	}

	#make(limit: number): ReplicaConnection | undefined {
		if (this.#all.size >= limit) {
			return undefined;
		}

		const connection = new ReplicaConnection(this.#address, this);
		this.#all.add(connection);
		this.#made += 1;
		return connection;
	}

	#closeOutdated() {
		const since = this.#clock.now() - idleMs;
		const [oldest] = this.#idle;
		if (oldest && oldest.idleSince < since) {
			this.#idle.filter(({idleSince}) => idleSince < since).forEach(connection => {
				connection.discard();
			});
		}
	}
}
