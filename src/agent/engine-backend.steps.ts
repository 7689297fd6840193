/**
Steps for what an agent learns of its engine, over real connections to a server of its own.
*/
import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import type {Either} from 'purify-ts/Either';
import type {TestWorld} from '../common/testing/test-world.js';
import {HttpClient} from '../io/http-client.js';
import type {ServesFailure} from './backend.js';
import {EngineBackend} from './engine-backend.js';

type EngineWorld = TestWorld & {
	backend: EngineBackend;
	answers: Array<Either<ServesFailure, readonly string[]>>;
};

const startServer = async (world: EngineWorld, model: string): Promise<Server> => {
	const used = new Set<Socket>();
	const server = createServer((req, res) => {
		if (used.has(req.socket)) {
			req.socket.destroy();
			return;
		}

		used.add(req.socket);
		res.end(JSON.stringify({data: [{id: model}]}));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	world.register({
		dispose() {
			server.close();
			server.closeAllConnections();
		},
	});
	return server;
};

const backendOf = (world: EngineWorld, server: Server): EngineBackend => new EngineBackend(world.register(new HttpClient()), `127.0.0.1:${(server.address() as AddressInfo).port}`);

Given('an engine that serves {string} and breaks the next question on a kept connection', async function (this: EngineWorld, model: string) {
	this.backend = backendOf(this, await startServer(this, model));
});

Given('an engine that has ended', async function (this: EngineWorld) {
	const server = await startServer(this, 'none');
	this.backend = backendOf(this, server);
	await new Promise(resolve => {
		server.close(resolve);
	});
});

When('its agent asks what it serves, {int} times', async function (this: EngineWorld, times: number) {
	this.answers = [];
	while (this.answers.length < times) {
		this.answers.push(await this.backend.serves());
	}
});

Then('all answers name {string}', function (this: EngineWorld, target: string) {
	assert.deepEqual(this.answers.map(answer => answer.extract()), this.answers.map(() => [target]));
});

Then('all answers say {string}', function (this: EngineWorld, kind: string) {
	assert.deepEqual(this.answers.map(answer => (answer.extract() as ServesFailure).kind), this.answers.map(() => kind));
});
