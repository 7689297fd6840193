/**
Stands in for the platform's object API: versions, conditional changes, lists and long-poll watches over HTTP, in memory only, with its faults and a count of every call.
*/
import type {OutgoingHttpHeaders} from 'node:http';
import {z} from 'zod';
import type {Disposable} from '../common/services.js';
import {SeededRandom} from '../io/seeded-random.js';
import {CallCounts, type CallMethod, type CallReport} from './call-counts.js';
import {faultsRoute} from './control-route.js';
import type {Exchange} from './exchange.js';
import {AnswerLoss, objectApiFaultsSchema, type ObjectApiFaults} from './object-api-faults.js';
import {
	ObjectStore, type ChangeRecord, type Precondition, type StoredText,
} from './object-store.js';
import type {Handler} from './route-table.js';
import {StandinServer, type ListenSettings} from './standin-server.js';

/** The largest value that the object API takes, in bytes of JSON. */
export const maxValueBytes = 1_048_576;

const defaultListLimit = 500;
const defaultWaitMs = 30_000;

/** The stand-in's settings. */
export const objectApiSettingsSchema = z.strictObject({
	/** How many of the latest changes a watch can ask for, at least. */
	logLength: z.number().int().min(1).default(20_000),
	/** Seed of the faults that happen by chance. */
	seed: z.number().int().default(1),
});

/** See {@link objectApiSettingsSchema}; all have defaults. */
export type ObjectApiSettings = z.input<typeof objectApiSettingsSchema>;

const frame = ({kind, name, version}: Omit<StoredText, 'text'>): string =>
	`"kind":${JSON.stringify(kind)},"name":${JSON.stringify(name)},"version":${version}`;
const envelope = (stored: StoredText): string => `{${frame(stored)},"value":${stored.text}}`;
const bareEnvelope = (stored: StoredText): string => `{${frame(stored)}}`;
const currentOrNothing = (current: StoredText | undefined): string => current ? envelope(current) : '{}';
const etag = (version: number): OutgoingHttpHeaders => ({ETag: `"${version}"`});

const preconditionOf = (exchange: Exchange): Precondition => {
	const match = exchange.header('if-match');
	if (match !== undefined) {
		return Number(match.replaceAll('"', ''));
	}

	return exchange.header('if-none-match') === '*' ? 'absent' : 'none';
};

/** The object API on loopback. */
export class ObjectApiStandin implements Disposable {
	/** Starts the stand-in; rejects when the port is taken. */
	static async start({host, port, ...settings}: ObjectApiSettings & ListenSettings = {}): Promise<ObjectApiStandin> {
		const standin = new ObjectApiStandin(settings);
		standin.#server = await StandinServer.start({host, port}, {
			hangs: 'requests',
			onRequest(exchange) {
				standin.#count(exchange);
			},
			routes: standin.#routes(),
		});
		return standin;
	}

	readonly #store: ObjectStore;
	readonly #counts = new CallCounts();
	readonly #loss: AnswerLoss;
	#server!: StandinServer;

	private constructor(settings: ObjectApiSettings) {
		const {logLength, seed} = objectApiSettingsSchema.parse(settings);
		this.#store = new ObjectStore(logLength);
		this.#loss = new AnswerLoss(new SeededRandom(seed));
	}

	/** Where it listens, as `ip:port`. */
	get address(): string {
		return this.#server.address;
	}

	/** Changes the faults that are given and returns those in force. */
	faults(changes: ObjectApiFaults = {}): ObjectApiFaults {
		const {loseAnswers, loseAnswerShare, ...others} = changes;
		this.#loss.set({loseAnswers, loseAnswerShare});
		this.#server.setFaults(others);
		return {...this.#server.faults, ...this.#loss.faults};
	}

	/** The calls received since the start or the last reset. */
	calls(): CallReport {
		return this.#counts.report();
	}

	resetCalls(): void {
		this.#counts.reset();
	}

	dispose(): void {
		this.#server.dispose();
	}

	#routes(): Record<string, Handler> {
		return {
			'GET /v1/objects/:kind/:name': exchange => {
				this.#get(exchange);
			},
			'PUT /v1/objects/:kind/:name': async exchange => this.#put(exchange),
			'DELETE /v1/objects/:kind/:name': exchange => {
				this.#remove(exchange);
			},
			'GET /v1/objects/:kind': exchange => {
				this.#list(exchange);
			},
			'GET /v1/watch': async exchange => this.#watch(exchange),
			'GET /control/calls': exchange => {
				exchange.send(200, this.calls());
			},
			'POST /control/calls/reset': exchange => {
				this.resetCalls();
				exchange.send(200, this.calls());
			},
			'POST /control/faults': faultsRoute(objectApiFaultsSchema, changes => this.faults(changes)),
		};
	}

	#count(exchange: Exchange): void {
		const [area, kind = '', name] = exchange.url.pathname.split('/').slice(2);
		const method = area === 'watch' ? 'watch' : methodOf(exchange, name !== undefined);
		const kinds = area === 'watch' ? kindsOf(exchange) : [kind];
		this.#counts.add(method, kinds);
	}

	#get(exchange: Exchange): void {
		const {kind = '', name = ''} = exchange.params;
		const stored = this.#store.get(kind, name);
		if (stored) {
			exchange.sendText(200, envelope(stored), etag(stored.version));
		} else {
			exchange.send(404, {error: 'not found'});
		}
	}

	async #put(exchange: Exchange): Promise<void> {
		const {kind = '', name = ''} = exchange.params;
		const body = await exchange.jsonText(maxValueBytes);
		body.caseOf({
			Left(err) {
				exchange.send(err.status, {error: err.message});
			},
			Right: text => {
				const existed = this.#store.get(kind, name) !== undefined;
				this.#store.put(kind, name, text, preconditionOf(exchange)).caseOf({
					Left({current}) {
						exchange.sendText(412, currentOrNothing(current));
					},
					Right: stored => {
						this.#answerChange(exchange, existed ? 200 : 201, bareEnvelope(stored), stored.version);
					},
				});
			},
		});
	}

	#remove(exchange: Exchange): void {
		const {kind = '', name = ''} = exchange.params;
		this.#store.remove(kind, name, preconditionOf(exchange)).caseOf({
			Left({current}) {
				exchange.sendText(current ? 412 : 404, currentOrNothing(current));
			},
			Right: version => {
				this.#answerChange(exchange, 200, JSON.stringify({version}), version);
			},
		});
	}

	#answerChange(exchange: Exchange, status: number, text: string, version: number): void {
		if (this.#loss.takes()) {
			exchange.cut();
			return;
		}

		exchange.sendText(status, text, etag(version));
	}

	#list(exchange: Exchange): void {
		const {searchParams} = exchange.url;
		const limit = exchange.queryNumber('limit', defaultListLimit);
		const page = this.#store.list(exchange.params.kind ?? '', searchParams.get('prefix') ?? '', searchParams.get('after') ?? '', limit);
		const write = searchParams.get('values') === '0' ? bareEnvelope : envelope;
		exchange.sendText(200, `{"items":[${page.items.map(item => write(item)).join(',')}],"version":${page.version},"more":${page.more}}`);
	}

	async #watch(exchange: Exchange): Promise<void> {
		const kinds = new Set(kindsOf(exchange));
		const since = exchange.queryNumber('since', 0);
		if (this.#store.changes(kinds, since)?.length === 0) {
			await this.#nextChange(exchange, kinds);
		}

		const changes = this.#store.changes(kinds, since);
		if (changes) {
			exchange.sendText(200, `{"version":${this.#store.version},"events":[${changes.map(change => this.#eventText(change)).join(',')}]}`);
		} else {
			exchange.send(410, {error: 'the changes since this version are no longer known', version: this.#store.version});
		}
	}

	async #nextChange(exchange: Exchange, kinds: ReadonlySet<string>): Promise<void> {
		const gone = new AbortController();
		const timer = this.#server.sleep(exchange.queryNumber('waitMs', defaultWaitMs), gone.signal);
		const stopWaiting = this.#store.onNextChange(kinds, () => {
			gone.abort();
		});
		exchange.onBroken(() => {
			gone.abort();
		});
		await timer;
		stopWaiting();
	}

	#eventText(change: ChangeRecord): string {
		const value = change.type === 'put' ? this.#store.get(change.kind, change.name)?.text : undefined;
		const tail = value === undefined ? '' : `,"value":${value}`;
		return `{"type":"${change.type}",${frame(change)}${tail}}`;
	}
}

const kindsOf = (exchange: Exchange): string[] => (exchange.url.searchParams.get('kinds') ?? '').split(',').filter(kind => kind !== '');

const objectMethods: Readonly<Record<string, (exchange: Exchange) => CallMethod>> = {
	PUT: exchange => exchange.header('if-none-match') === '*' ? 'create' : 'update',
	DELETE: () => 'delete',
};

const methodOf = (exchange: Exchange, isObject: boolean): CallMethod => objectMethods[exchange.method]?.(exchange) ?? (isObject ? 'get' : 'list');
