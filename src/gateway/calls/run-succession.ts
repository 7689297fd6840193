/**
What may follow a run of a call that has broken off: another run from where the caller's answer ends, the same run from its copy, or nothing. It counts the runs that the route limits, and remembers whether any replica may have run the call, since a refusal states that none has.
*/
import type {HeldCopy, RunContinuation} from '../continuity/run-continuation.js';
import type {GatewayParts} from '../parts.js';
import type {TrackedContent} from '../quarantine/tracked-content.js';
import type {Replica} from '../replica.js';
import type {GatewayRoute} from '../types.js';
import type {AttemptEnd} from './attempt.js';
import type {CallerAnswer} from './caller-answer.js';

/** The call whose runs follow each other. */
export type SucceedingRuns = {
	readonly route: GatewayRoute;
	/** Whether a broken run may be followed by another one. */
	readonly isRepeatable: boolean;
	readonly answer: CallerAnswer;
	readonly content: TrackedContent;
	readonly continuation: RunContinuation;
};

/** Ends of an attempt at which its replica has certainly not run the call. */
const notRunEnds: ReadonlySet<AttemptEnd['kind']> = new Set(['notSent', 'unsendable', 'refused', 'misdirected', 'outdated']);

/** See the module's head. */
export class RunSuccession {
	readonly #parts: Pick<GatewayParts, 'directory' | 'reachability'>;
	readonly #call: SucceedingRuns;
	#runs = 0;
	#mayHaveRun = false;
	/** Whether a replica may be running the call now. */
	#isUnderWay = false;
	#isContinuing = false;
	/** Whether a replica had ended during a run of the call when the last run ended. */
	#wasSuspected = false;

	constructor(parts: Pick<GatewayParts, 'directory' | 'reachability'>, call: SucceedingRuns) {
		this.#parts = parts;
		this.#call = call;
	}

	/** Number of runs that count towards the route's limit. */
	get runs(): number {
		return this.#runs;
	}

	/** Whether any replica may have started to run the call. */
	get mayHaveRun(): boolean {
		return this.#mayHaveRun || this.#isUnderWay;
	}

	/** Whether the current run goes on from the copy of another one: if it cannot, the call must not be run anew. */
	get isContinuing(): boolean {
		return this.#isContinuing;
	}

	/** Whether the current run is the only one so far. */
	get isFirstRun(): boolean {
		return this.#runs === 0 && !this.#isContinuing;
	}

	/** Whether another run can supply the rest of the answer. */
	get canRerun(): boolean {
		const {isRepeatable, answer, route} = this.#call;
		return isRepeatable && answer.canResume && this.#runs < route.maxRuns;
	}

	/** Records that a run begins. */
	noteStart(): void {
		this.#isUnderWay = true;
	}

	/** Records that a run has ended, before its own crash is recorded. */
	noteEnd(kind: AttemptEnd['kind']): void {
		this.#isUnderWay = false;
		this.#mayHaveRun ||= !notRunEnds.has(kind);
		this.#wasSuspected = this.#call.content.isSuspected;
	}

	/** Records a run without a complete answer. Runs at terminated replicas do not count: a crash must not fail a stream that can still be resumed. */
	noteBroken(replica: Replica): void {
		if (this.#parts.directory.get(replica.record.id) === replica) {
			this.#runs += 1;
		}
	}

	/**
	Finds the copy from which the run goes on. A replica that has only lost the connection may still work on the run, which must not go on at another one meanwhile; and a request that may be the cause of its replica's end goes on nowhere.

	@param end - How the run ended.
	*/
	async takeCopy(replica: Replica, end: AttemptEnd['kind'] | undefined): Promise<HeldCopy | undefined> {
		const {answer, content, continuation} = this.#call;
		const mayContinue = continuation.hasCopy && answer.hasEvents && answer.canResume;
		const isHarmless = !this.#wasSuspected && (content.isWellUnderWay || end === 'cutOff');
		return mayContinue && isHarmless && await this.#parts.reachability.hasEnded(replica)
			? continuation.takeCopy(answer.lastEventId ?? 0)
			: undefined;
	}

	/** Records that the run goes on from its copy. */
	noteContinued(): void {
		this.#isContinuing = true;
	}
}
