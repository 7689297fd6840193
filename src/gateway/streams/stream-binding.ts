/**
The software version that a call's stream is bound to. The outputs of two versions must not be combined, so once its caller has received an event, a stream is continued only by replicas of the version that generated it: within one answer, and across the attempts of its caller, which may arrive at different processes. A run without an event binds nothing.
*/
import type {Replica} from '../replica.js';
import type {
	CallerIdentity, CallFields, GatewayRoute, GatewayServiceName, SoftwareVersion,
} from '../types.js';
import type {Announcement} from './origin-announcer.js';
import {resumableForMs, streamKey, type StreamKey} from './stream-origin.js';
import type {FoundOrigin, StreamOrigins} from './stream-origins.js';

/** @returns The replicas of the version, or all if none is given. */
export const ofVersion = (replicas: readonly Replica[], version: SoftwareVersion | undefined): readonly Replica[] => version === undefined
	? replicas
	: replicas.filter(({record}) => record.softwareVersion === version);

/** Dependencies and parameters of a binding. */
export type StreamBindingParts = {
	readonly origins: Pick<StreamOrigins, 'announce' | 'find'>;
	readonly route: GatewayRoute;
	readonly fields: CallFields;
	readonly caller?: CallerIdentity;
};

/** See the module's head. */
export class StreamBinding {
	readonly #parts: StreamBindingParts;
	/** Identifies the stream; `undefined` if it cannot be resumed, or its caller has not named it. */
	readonly #key: StreamKey | undefined;
	readonly #isResumable: boolean;
	#boundVersion: SoftwareVersion | undefined;
	#boundService: GatewayServiceName | undefined;
	/** The version of the current run. */
	#runVersion: SoftwareVersion | undefined;
	#runs = 0;
	#announcement: Announcement | undefined;

	readonly #onFound: {readonly [K in FoundOrigin['kind']]: (found: Extract<FoundOrigin, {kind: K}>) => void} = {
		own: ({origin}) => {
			this.#bindTo(origin);
		},
		peer: ({origin}) => {
			this.#bindTo(origin);
		},
		inferred: ({softwareVersion}) => {
			this.#boundVersion = softwareVersion;
		},
		unknown: () => undefined,
	};

	constructor(parts: StreamBindingParts) {
		const {route, fields: {requestId, resumedId}, caller} = parts;
		this.#parts = parts;
		this.#isResumable = route.kind === 'stream' && route.isResumable;
		this.#key = this.#isResumable ? streamKey(this.isResumed ? resumedId : requestId, caller?.account) : undefined;
	}

	/** Whether the call resumes a stream of which the caller has events. */
	get isResumed(): boolean {
		return this.#isResumable && this.#parts.fields.isResumed;
	}

	/** The only version that may run the call; `undefined` until its caller has an event. */
	get softwareVersion(): SoftwareVersion | undefined {
		return this.#boundVersion;
	}

	/** The service at which the stream began, if it is known. */
	get service(): GatewayServiceName | undefined {
		return this.#boundService;
	}

	/** Announcement that the first event of the stream must wait for; `undefined` if there is none. */
	get pendingAnnouncement(): Announcement | undefined {
		return this.#boundVersion === undefined && this.#announcement?.isSettled === false ? this.#announcement : undefined;
	}

	/** Finds the version of a stream that the call resumes, and binds the call to it. */
	async resolve(): Promise<FoundOrigin> {
		const {origins, route, fields: {requestId}} = this.#parts;
		const found = await origins.find({key: this.#key, services: route.targets.map(({service}) => service), periodMs: resumableForMs(route)}, requestId);
		this.#onFound[found.kind](found as never);
		return found;
	}

	/** Records at which replica a run is started, and announces its version before any event of it can arrive. */
	noteRun({record: {softwareVersion, service}}: Replica): void {
		const isChange = softwareVersion !== this.#runVersion;
		this.#runVersion = softwareVersion;
		if (this.#key === undefined || !isChange) {
			return;
		}

		this.#runs += 1;
		this.#announcement = this.#parts.origins.announce({
			key: this.#key, service: this.#boundService ?? service, softwareVersion, run: this.#runs, keepMs: resumableForMs(this.#parts.route),
		});
	}

	/** The caller has received an event of the current run. */
	noteEvent(): void {
		this.#boundVersion ??= this.#runVersion;
	}

	#bindTo({softwareVersion, service, run}: Extract<FoundOrigin, {kind: 'own'}>['origin']) {
		this.#boundVersion = softwareVersion;
		this.#boundService = service;
		this.#runs = run;
	}
}
