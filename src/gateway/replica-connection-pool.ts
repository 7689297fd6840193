/**
Pool of kept-alive connections to one replica, with one request at a time on each. The HTTP library's own pool is not used, because the handling of a request depends on its connection: whether it is new, and whether other connections to the replica became unresponsive.
*/
import type {Dispatcher} from 'undici';
import type {Clock, Disposable} from '../common/services.js';
import {SocketWatch} from '../io/socket-watch.js';
import {WatchedClient} from '../io/watched-client.js';

/** Idle time after which a connection is closed if the replica announces none, in milliseconds; below the 5 s for which Node's and most other servers keep an idle connection. */
const maxIdleMs = 4000;

/** Subtracted from the idle time that the replica announces, in milliseconds, so that a request is not sent while the replica closes the connection. */
const idleMarginMs = 1000;

/** Time limit of a connection, in milliseconds; the attempt has a shorter one. */
const connectTimeoutMs = 5000;

/** Maximum size of an answer's head, interim answers included, in bytes; header lines may have a quarter of it. */
const maxHeadBytes = 65_536;

const lowestFinalStatus = 200;

/** One connection, established or being established. It carries one request at a time. */
export class ReplicaConnection implements Disposable {
	/** Since when it has been idle, in milliseconds on the monotonic clock. */
	idleSince = Infinity;
	readonly #client: WatchedClient;
	readonly #pool: ReplicaConnectionPool;
	readonly #socketWatch: SocketWatch;
	#isClosed = false;
	#isNew = true;

	/**
	@param address - `ip:port`.
	@param pool - The pool that the connection is removed from when it can carry no more requests.
	*/
	constructor(address: string, pool: ReplicaConnectionPool) {
		this.#pool = pool;
		this.#socketWatch = new SocketWatch(err => {
			pool.listener.onDefect?.(err);
		});
		this.#client = new WatchedClient(`http://${address}`, {
			connectTimeoutMs,
			pipelining: 1,
			keepAliveTimeout: maxIdleMs,
			keepAliveTimeoutThreshold: idleMarginMs,
			headersTimeout: 0,
			bodyTimeout: 0,
		}, this.#socketWatch);
		this.#client.once('disconnect', () => {
			this.#isClosed = true;
			pool.listener.onTransfer?.(this.#socketWatch.takeTransferredBytes());
			pool.removeConnection(this);
		});
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Whether no request has been answered on it yet. The connection is established with its first request. */
	get isNew(): boolean {
		return this.#isNew;
	}

	dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
		this.#client.dispatch(options, {
			...handler,
			onRequestStart: (controller, context) => {
				this.#socketWatch.expectHead(maxHeadBytes, () => {
					controller.abort(new Error(`the head of the answer is longer than ${maxHeadBytes} bytes`));
				});
				handler.onRequestStart?.(controller, context);
			},
			onResponseStart: (controller, status, ...head) => {
				if (status >= lowestFinalStatus) {
					this.#socketWatch.expectNoHead();
				}

				handler.onResponseStart?.(controller, status, ...head);
			},
		});
	}

	/** Frees the connection for another request, after a complete and valid answer. */
	release(): void {
		this.#isNew = false;
		this.#pool.listener.onTransfer?.(this.#socketWatch.takeTransferredBytes());
		this.#pool.returnToPool(this);
	}

	/** Closes the connection at once, on which the replica aborts the request that it runs for it. */
	discard(): void {
		this.#pool.removeConnection(this);
		this.dispose();
	}

	/** Closes the idle connections to the same replica: if one is unresponsive, all may be. */
	closeIdleSiblings(): void {
		this.#pool.closeIdle();
	}

	dispose(): void {
		this.#isClosed = true;
		void this.#client.destroy().catch(() => undefined);
	}
}

/** Learns what happens on the connections of a pool. */
export type ConnectionListener = {
	/** Called with bytes sent and received, when a request or a connection ends. */
	readonly onTransfer?: (bytes: number) => void;
	/** Called with an error of the HTTP library that has ended a connection. */
	readonly onDefect?: (err: Error) => void;
};

/** The pool of one replica. */
export class ReplicaConnectionPool implements Disposable {
	readonly listener: ConnectionListener;
	readonly #address: string;
	readonly #clock: Clock;
	readonly #all = new Set<ReplicaConnection>();
	#idle: ReplicaConnection[] = [];
	#createdCount = 0;
	#closesWhenIdle = false;

	/** @param address - `ip:port`. */
	constructor(address: string, clock: Clock, listener: ConnectionListener = {}) {
		this.#address = address;
		this.#clock = clock;
		this.listener = listener;
	}

	/** Number of connections that are open or being established. */
	get size(): number {
		return this.#all.size;
	}

	/** Number of connections created so far. */
	get createdCount(): number {
		return this.#createdCount;
	}

	/**
	Acquires a connection for one request: the most recently used idle one, since the replica is the least likely to have closed it. Expired ones are closed first, because timers do not run during a pause of this process.

	@param limit - Maximum number of open connections.
	@param mustBeNew - Whether kept-alive connections are excluded.
	@returns `undefined` if all connections are busy.
	*/
	acquire(limit: number, mustBeNew = false): ReplicaConnection | undefined {
		this.#closeExpired();
		return mustBeNew ? this.#createReplacingIdle(limit) : this.#idle.pop() ?? this.#create(limit);
	}

	/**
	Returns a connection to the pool after a complete answer.

	It is reused only after bytes that have already arrived were read: a faulty replica may send a second answer after the first one, which must not be taken as the answer to the next request.
	*/
	returnToPool(connection: ReplicaConnection): void {
		if (this.#closesWhenIdle) {
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

	/** Removes a connection that can carry no more requests. */
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

	/** Closes each connection as soon as it carries no request: a replica that has left completes the requests in flight. */
	drain(): void {
		this.#closesWhenIdle = true;
		this.closeIdle();
	}

	dispose(): void {
		this.#all.forEach(connection => {
			connection.dispose();
		});
		this.#all.clear();
		this.#idle = [];
	}

	/** If the limit is reached, closes the connection that has been idle for longest. */
	#createReplacingIdle(limit: number): ReplicaConnection | undefined {
		if (this.#all.size >= limit) {
			this.#idle[0]?.discard();
		}

		return this.#create(limit);
	}

	#create(limit: number): ReplicaConnection | undefined {
		if (this.#all.size >= limit) {
			return undefined;
		}

		const connection = new ReplicaConnection(this.#address, this);
		this.#all.add(connection);
		this.#createdCount += 1;
		return connection;
	}

	#closeExpired() {
		const since = this.#clock.now() - maxIdleMs;
		const [oldest] = this.#idle;
		if (oldest && oldest.idleSince < since) {
			this.#idle.filter(({idleSince}) => idleSince < since).forEach(connection => {
				connection.discard();
			});
		}
	}
}
