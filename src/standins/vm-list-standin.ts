/**
Stands in for the platform's VM list, which lags behind the truth.
*/
import {z} from 'zod';
import type {Disposable} from '../common/services.js';
import {connectionFaultsSchema} from './connection-faults.js';
import {faultsRoute} from './control-route.js';
import type {Exchange} from './exchange.js';
import {LaggedValue} from './lagged-value.js';
import type {Handler} from './route-table.js';
import {StandinServer, type ListenSettings} from './standin-server.js';

/** The longest lag that can be set, in milliseconds. */
const maxLagMs = 600_000;

/** A VM, as `PUT /control/vms/{name}` takes it; the name is in the path. */
export const vmSchema = z.strictObject({
	name: z.string().optional(),
	role: z.enum(['entry', 'backend']),
	address: z.string(),
	failureDomain: z.string(),
	state: z.enum(['live', 'leaving']).default('live'),
});

/** The body of `POST /control/faults`. */
export const vmListFaultsSchema = connectionFaultsSchema.extend({
	/** Reads show the list as it was so many milliseconds ago. */
	lagMs: z.number().min(0).max(maxLagMs).optional(),
});

/** See {@link vmListFaultsSchema}. */
export type VmListFaults = z.infer<typeof vmListFaultsSchema>;

/** The stand-in's settings. */
export const vmListSettingsSchema = z.strictObject({
	/** See {@link vmListFaultsSchema}. */
	lagMs: z.number().min(0).max(maxLagMs).default(0),
	/** The VMs at the start. */
	vms: z.array(vmSchema.extend({name: z.string()})).default([]),
});

/** See {@link vmListSettingsSchema}; all have defaults. */
export type VmListSettings = z.input<typeof vmListSettingsSchema>;

/** A VM in the list. */
export type ListedVm = z.infer<typeof vmSchema> & {readonly name: string};

/** The VM list on loopback. */
export class VmListStandin implements Disposable {
	/** Starts the stand-in; rejects when the port is taken. */
	static async start({host, port, ...settings}: VmListSettings & ListenSettings = {}): Promise<VmListStandin> {
		const standin = new VmListStandin(settings);
		standin.#server = await StandinServer.start({host, port}, {hangs: 'requests', routes: standin.#routes()});
		return standin;
	}

	readonly #vms: LaggedValue<readonly ListedVm[]>;
	#server!: StandinServer;
	#lagMs: number;

	private constructor(settings: VmListSettings) {
		const {lagMs, vms} = vmListSettingsSchema.parse(settings);
		this.#lagMs = lagMs;
		this.#vms = new LaggedValue<readonly ListedVm[]>(vms, maxLagMs);
	}

	/** Where it listens, as `ip:port`. */
	get address(): string {
		return this.#server.address;
	}

	/** Changes the faults that are given and returns those in force. */
	faults(changes: VmListFaults = {}): VmListFaults {
		const {lagMs, ...others} = changes;
		this.#lagMs = lagMs ?? this.#lagMs;
		this.#server.setFaults(others);
		return {...this.#server.faults, lagMs: this.#lagMs};
	}

	/** Adds a VM, or replaces the one of this name. */
	setVm(name: string, vm: Omit<z.input<typeof vmSchema>, 'name'>): void {
		const others = this.#vms.latest.filter(other => other.name !== name);
		this.#vms.set(performance.now(), [...others, {...vmSchema.parse(vm), name}]);
	}

	/** Removes a VM; does nothing when there is none of this name. */
	removeVm(name: string): void {
		this.#vms.set(performance.now(), this.#vms.latest.filter(vm => vm.name !== name));
	}

	dispose(): void {
		this.#server.dispose();
	}

	#routes(): Record<string, Handler> {
		return {
			'GET /v1/vms': exchange => {
				exchange.send(200, {vms: this.#vms.at(performance.now() - this.#lagMs)});
			},
			'PUT /control/vms/:name': async exchange => this.#putVm(exchange),
			'DELETE /control/vms/:name': exchange => {
				this.removeVm(exchange.params.name ?? '');
				exchange.send(200, {});
			},
			'POST /control/faults': faultsRoute(vmListFaultsSchema, changes => this.faults(changes)),
		};
	}

	async #putVm(exchange: Exchange): Promise<void> {
		const name = exchange.params.name ?? '';
		const body = await exchange.json();
		const parsed = vmSchema.safeParse(body.orDefault(undefined));
		if (!parsed.success) {
			exchange.send(400, {error: parsed.error.message});
			return;
		}

		this.setVm(name, parsed.data);
		exchange.send(200, {...parsed.data, name});
	}
}
