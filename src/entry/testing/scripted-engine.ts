/**
An engine whose answers a scenario writes itself, byte for byte, in the place of a stand-in.
*/
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {Disposable} from '../../common/services.js';
import {modelName, until, type RelayedFleet} from './relayed-fleet.js';

/** Answers one generation. `run` counts the generations that came, from 1. */
export type EngineScript = (res: ServerResponse, run: number) => void;

/** One event with a choice's delta. */
export const deltaEvent = (delta: object, finishReason: string | null = null, index = 0) => `data: ${JSON.stringify({
	id: 'x', object: 'chat.completion.chunk', created: 1, model: modelName, choices: [{index, delta, finish_reason: finishReason}],
})}\n\n`;

/** The marker that ends a stream. */
export const doneEvent = 'data: [DONE]\n\n';

/** The end of a whole answer. */
export const endOfAnswer = `${deltaEvent({}, 'stop')}${doneEvent}`;

/** Sends the head of an answer. */
export const openStream = (res: ServerResponse) => res.writeHead(200, {'content-type': 'text/event-stream'});

/** See above. */
export class ScriptedEngine implements Disposable {
	/** Takes the address of the stand-in on a VM; resolves when its agent serves the model again. */
	static async replace({fleet}: RelayedFleet, vm: string, script: EngineScript): Promise<ScriptedEngine> {
		const standin = fleet.engines.get(vm)!;
		standin.dispose();
		const engine = new ScriptedEngine(script);
		await engine.#listen(standin.address);
		await until(() => engine.#asked > 1 && fleet.agents.get(vm)!.load().serves.length > 0);
		return engine;
	}

	/** Generations that came. */
	runs = 0;
	readonly #server: Server;
	#asked = 0;

	private constructor(script: EngineScript) {
		this.#server = createServer((req, res) => {
			const handlers: Readonly<Record<string, () => void>> = {
				'GET /v1/models': () => {
					this.#asked += 1;
					res.end(JSON.stringify({data: [{id: modelName}]}));
				},
				'POST /v1/chat/completions': () => {
					this.runs += 1;
					req.resume().once('end', () => {
						script(res, this.runs);
					});
				},
			};
			const handle = handlers[`${req.method} ${req.url}`];
			if (handle) {
				handle();
				return;
			}

			res.writeHead(404).end();
		});
	}

	dispose(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #listen(address: string) {
		const [host, port] = address.split(':');
		await until(async () => new Promise<boolean>(resolve => {
			this.#server.once('error', () => {
				resolve(false);
			}).listen(Number(port), host, () => {
				resolve(true);
			});
		}));
	}
}
