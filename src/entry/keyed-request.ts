/**
A non-idempotent request that carries an idempotency key. Its key is claimed before it runs, so that the same request sent again, through any entry and at any moment, is never run a second time: it gets the answer of the first, or is told that the outcome is unknown.
*/
import {createHash} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts/Either';
import type {ClaimValue} from '../common/claim.js';
import type {AttemptKey, BackendWork} from '../common/protocol.js';
import {AttemptRecovery, type CurrentAttempt, type Settlement} from './attempt-recovery.js';
import type {AnswerSink} from './answer-sink.js';
import type {ClaimStore, StoredClaim} from './claim-store.js';
import {entryEvents} from './log-events.js';
import {OnlineRequest} from './online-request.js';
import {
	deadlinePassed, type Caller, type OnlineWork, type RequestOutcome, type RequestSurroundings,
} from './online-work.js';
import {RecordingSink} from './recording-sink.js';

/** What a keyed request is made of. */
export type KeyedParts = {
	readonly work: OnlineWork;
	readonly sink: AnswerSink;
	readonly around: RequestSurroundings;
	readonly caller: Caller;
	readonly store: ClaimStore;
};

const retryAfterMs = 1000;
/** How long a claimed attempt may be under way to its agent before whoever finds the claim revokes it. */
const graceMs = 500;
/** Claims found one after another before a caller is told to come again. */
const maxClaimsFollowed = 5;

const sha256 = (parts: readonly string[]) => createHash('sha256').update(JSON.stringify(parts)).digest('hex');

const digestOf = (work: BackendWork) => sha256(work.kind === 'call'
	? [work.method, work.path, work.bodyBase64]
	: [work.path, JSON.stringify(work.body)]);

/** Carries one keyed request through. */
export class KeyedRequest {
	readonly #work: OnlineWork;
	readonly #sink: RecordingSink;
	readonly #around: RequestSurroundings;
	readonly #caller: Caller;
	readonly #store: ClaimStore;
	readonly #name: string;
	readonly #digest: string;
	readonly #recovery: AttemptRecovery;
	#claim: StoredClaim | undefined;
	#found: StoredClaim | undefined;
	/** The attempt whose answer is followed, and the chunks of it that the sink has. */
	#followed: AttemptKey | undefined;
	#received = 0;
	#attempts = 0;
	#settling: Promise<unknown> | undefined;

	/** @param key - The caller's idempotency key; it holds for one account and one service or model. */
	constructor(key: string, {
		work, sink, around, caller, store,
	}: KeyedParts) {
		this.#work = work;
		this.#sink = new RecordingSink(sink);
		this.#around = around;
		this.#caller = caller;
		this.#store = store;
		this.#name = sha256([work.account, work.work.kind, work.work.target, key]);
		this.#digest = digestOf(work.work);
		this.#recovery = new AttemptRecovery(around);
	}

	/** The number of attempts made so far. */
	get attempts(): number {
		return this.#attempts;
	}

	/** Resolves when the claim says how the request ended. The caller need not wait for that. */
	async settled(): Promise<void> {
		await this.#settling;
	}

	/** Runs the request, or follows the one that has its key. Resolves with its outcome; never rejects. */
	async run(): Promise<RequestOutcome> {
		let outcome = await this.#execute();
		for (let followed = 0; this.#found && followed < maxClaimsFollowed; followed++) {
			const found = this.#found;
			this.#found = undefined;
			outcome = await this.#follow(found);
		}

		return outcome;
	}

	async #execute(): Promise<RequestOutcome> {
		const request = new OnlineRequest({...this.#work, gate: async current => this.#claimFor(current)}, this.#sink, this.#around, this.#caller);
		const outcome = await request.run();
		this.#attempts += request.attempts;
		if (this.#found) {
			return outcome;
		}

		if (this.#claim) {
			this.#settling = this.#settle(this.#claim, outcome);
			return outcome;
		}

		// Refused before the key was claimed, for instance since no replica is there. "Not run" must hold for whoever sent the key before, too.
		const read = await this.#store.read(this.#name);
		read.ifRight(claim => {
			this.#found = claim;
		});
		return outcome;
	}

	async #claimFor({replica, attempt}: CurrentAttempt): Promise<Either<RequestOutcome, unknown>> {
		const value: ClaimValue = {
			writer: this.#work.id,
			digest: this.#digest,
			attempt: {
				id: attempt.id, attempt: attempt.attempt, issuedAt: attempt.issuedAt, incarnation: attempt.incarnation, vm: replica.vm, address: replica.address,
			},
			deadlineAt: Math.round(this.#around.clock.wall() + attempt.deadlineInMs),
		};
		const taken = await (this.#claim ? this.#store.move(this.#claim, value) : this.#store.take(this.#name, value));
		return taken.caseOf<Either<RequestOutcome, unknown>>({
			Right: claim => {
				this.#claim = claim;
				return Right(claim);
			},
			Left: failure => {
				this.#found = failure.kind === 'taken' ? failure.claim : undefined;
				this.#claim = undefined;
				return Left({kind: 'refused', reason: 'noClaim', retryAfterMs});
			},
		});
	}

	async #settle(claim: StoredClaim, outcome: RequestOutcome): Promise<void> {
		const handlers: Partial<Record<RequestOutcome['kind'], () => Promise<unknown>>> = {
			whole: async () => this.#store.end(claim, {chunks: this.#sink.chunks}),
			rejected: async () => this.#store.end(claim, {rejected: outcome as Extract<RequestOutcome, {kind: 'rejected'}>}),
			refused: async () => this.#store.release(claim),
		};
		await handlers[outcome.kind]?.();
	}

	async #follow(claim: StoredClaim): Promise<RequestOutcome> {
		const {digest, end, attempt} = claim.value;
		this.#around.log.emit(entryEvents.claimFound, {
			id: this.#work.id, claimedBy: attempt.id, vm: attempt.vm, ended: end !== undefined,
		});
		if (digest !== this.#digest) {
			return {kind: 'keyReused'};
		}

		if (end?.rejected) {
			return {kind: 'rejected', ...end.rejected};
		}

		if (!this.#mayFollow(attempt)) {
			return {kind: 'unknown', reason: 'the answer has begun, and the key belongs to another run now'};
		}

		if (end?.chunks) {
			end.chunks.slice(this.#received).forEach(chunk => {
				this.#sink.chunk(chunk);
			});
			return {kind: 'whole'};
		}

		return this.#ask(claim);
	}

	// An answer that was read in part is read on only where it is of the same run. What another run has brought is forgotten, unless the caller has it: nothing can be put behind it then.
	#mayFollow({id, attempt}: AttemptKey): boolean {
		const isSame = this.#followed?.id === id && this.#followed.attempt === attempt;
		if (!isSame && this.#sink.hasBegun) {
			return false;
		}

		if (!isSame) {
			this.#sink.clear();
			this.#received = 0;
		}

		this.#followed = {id, attempt};
		return true;
	}

	async #ask(claim: StoredClaim): Promise<RequestOutcome> {
		const {clock} = this.#around;
		const {vm, address, ...attempt} = claim.value.attempt;
		const settled = await this.#recovery.settle({
			current: {replica: {vm, address}, attempt: {...attempt, idempotent: false}},
			place: {
				address,
				reader: this.#work.id,
				signal: this.#caller.signal,
				pause: this.#caller.pause,
				onChunk: (index, data) => {
					const isTaken = index === this.#received && this.#sink.chunk(data);
					this.#received += isTaken ? 1 : 0;
					return isTaken || index < this.#received;
				},
			},
			received: () => this.#received,
			deadlineInMs: () => Math.max(0, this.#work.deadlineAt - clock.now()),
			revokeAt: clock.now() + graceMs,
		});
		return this.#conclude(claim, settled);
	}

	async #conclude(claim: StoredClaim, settled: Settlement): Promise<RequestOutcome> {
		const takeOver = async () => {
			this.#claim = claim;
			return this.#execute();
		};

		const handlers: {[Kind in Settlement['kind']]: (settlement: Extract<Settlement, {kind: Kind}>) => Promise<RequestOutcome>} = {
			end: async () => {
				this.#settling = this.#settle(claim, {kind: 'whole'});
				return {kind: 'whole'};
			},
			refused: takeOver,
			notRun: takeOver,
			failed: async ({failure}) => failure.kind === 'rejected'
				? {kind: 'rejected', status: failure.status ?? 502, body: failure.body ?? ''}
				: {kind: 'unknown', reason: failure.reason},
			gone: async ({reason}) => this.#lookAgain(claim, reason),
			aborted: async () => this.#caller.signal.reason === deadlinePassed ? {kind: 'expired', run: 'unknown'} : {kind: 'aborted'},
		};
		return (handlers[settled.kind] as (settlement: Settlement) => Promise<RequestOutcome>)(settled);
	}

	// The agent can not tell. Meanwhile the first request may have moved to another replica, or its end may have been recorded.
	async #lookAgain(claim: StoredClaim, reason: string): Promise<RequestOutcome> {
		const read = await this.#store.read(this.#name);
		const current = read.map(({version}) => version).orDefault(claim.version);
		if (current !== claim.version) {
			this.#found = read.extract() as StoredClaim;
		}

		return claim.value.end
			? {kind: 'failed', reason: 'it was run, and its answer is no longer kept', run: 'run'}
			: {kind: 'unknown', reason};
	}
}
