/**
Counts the bytes that this process exchanges with its peers, keepers and replicas, by cause and by whether they leave its failure domain, where they are billed. Each byte is counted by one process: a datagram by its sender, a call and its answer by the caller.

The failure domain of an address is looked up when the counts are reported, so that a message costs no more than an addition.
*/
import type {Metrics} from '../common/services.js';

/** Dependencies of the meter. */
export type TrafficMeterParts = {
	/** The failure domain of this process. */
	readonly failureDomain: string;
	/** Failure domains of the known processes and replicas, by address as `ip:port`. */
	readonly domains: () => ReadonlyMap<string, string | undefined>;
	readonly metrics: Metrics;
};

/** See the module's head. */
export class TrafficMeter {
	readonly #parts: TrafficMeterParts;
	/** By cause and address; since the last report. */
	readonly #bytes = new Map<string, Map<string, number>>();

	constructor(parts: TrafficMeterParts) {
		this.#parts = parts;
	}

	/**
	@param cause - Name of the RPC method, or `replica`.
	@param address - The other side, as `ip:port`.
	*/
	add(cause: string, address: string, bytes: number): void {
		const byAddress = this.#bytes.get(cause) ?? new Map<string, number>();
		this.#bytes.set(cause, byAddress);
		byAddress.set(address, (byAddress.get(address) ?? 0) + bytes);
	}

	/** Adds what was counted since the last report to the metrics. */
	report(): void {
		const domains = this.#parts.domains();
		this.#bytes.forEach((byAddress, cause) => {
			byAddress.forEach((bytes, address) => {
				this.#parts.metrics.count('gateway.trafficBytes', bytes, {cause, domain: this.#relationTo(domains.get(address))});
			});
		});
		this.#bytes.clear();
	}

	#relationTo(domain: string | undefined): string {
		if (domain === undefined) {
			return 'unknown';
		}

		return domain === this.#parts.failureDomain ? 'same' : 'other';
	}
}
