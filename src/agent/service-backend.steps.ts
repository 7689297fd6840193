/**
Steps for what an agent takes a plain service's answer for, over connections that a scenario ends.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {
	Given, Then, When, type DataTable,
} from '@cucumber/cucumber';
import type {TestWorld} from '../common/testing/test-world.js';
import {HttpClient} from '../io/http-client.js';
import {ServiceBackend} from './service-backend.js';

type ServiceWorld = TestWorld & {backend: ServiceBackend; answer: (socket: Socket, req: string) => void; answered: Array<Awaited<ReturnType<typeof call>>>};

const text = 'left rear';
const half = 'left ';
const pieceOf = (part: string) => `${part.length.toString(16)}\r\n${part}\r\n`;

const heads: Readonly<Record<string, readonly string[]>> = {
	'a length': [`content-length: ${text.length}`],
	pieces: ['transfer-encoding: chunked'],
	'pieces, then a close': ['transfer-encoding: chunked', 'connection: close'],
	'a length, then a close': [`content-length: ${text.length}`, 'connection: close'],
	'a length, after a hint': [`content-length: ${text.length}`],
	nothing: [],
};

const reset = (socket: Socket) => {
	socket.resetAndDestroy();
};

const ends: Readonly<Record<string, (socket: Socket) => void>> = {
	kept: () => undefined,
	ended(socket) {
		socket.end();
	},
	reset,
	'reset at once': reset,
};

const bodyOf = (head: string, part: string) => {
	const isWhole = part === 'whole';
	const sent = isWhole ? text : half;
	return head.startsWith('pieces') ? `${pieceOf(sent)}${isWhole ? pieceOf('') : ''}` : sent;
};

/** By then the body has been read; one that ends at once can overtake it. */
const endAfterMs = 20;

Given('a service whose answers a scenario writes', async function (this: ServiceWorld) {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined).on('data', (data: Buffer) => {
			this.answer(socket, data.toString());
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	this.register(() => {
		server.close();
		sockets.forEach(socket => {
			socket.destroy();
		});
	});
	this.backend = new ServiceBackend(this.register(new HttpClient()), `127.0.0.1:${(server.address() as AddressInfo).port}`, 'tyre-status');
});

const call = async ({backend}: ServiceWorld, path = '/') => {
	const chunks: string[] = [];
	const ended = await backend.run({
		key: 'k',
		work: {
			kind: 'call', target: 'tyre-status', method: 'GET', path, headers: {}, bodyBase64: '',
		},
		signal: new AbortController().signal,
		onChunk(data) {
			chunks.push(data);
		},
	});
	const body = chunks.slice(1).map(piece => Buffer.from(piece, 'base64').toString()).join('');
	return {outcome: ended.caseOf<string>({Left: ({kind}) => kind, Right: () => 'whole'}), body};
};

Then('the agent takes the service\'s answers for this:', async function (this: ServiceWorld, table: DataTable) {
	const taken: string[][] = [];
	for (const [head = '', part = '', end = ''] of table.rows()) {
		this.answer = socket => {
			const hint = head.endsWith('a hint') ? 'HTTP/1.1 103 Early Hints\r\nlink: </tyre>\r\n\r\n' : '';
			socket.write(`${hint}${['HTTP/1.1 200 OK', ...heads[head]!].join('\r\n')}\r\n\r\n${bodyOf(head, part)}`, () => {
				setTimeout(ends[end]!, end.endsWith('at once') ? 0 : endAfterMs, socket);
			});
		};

		const {outcome} = await call(this);
		taken.push([head, part, end, outcome]);
	}

	assert.deepEqual(taken, table.rows());
});

When('it sends each answer twice, and {int} calls are made one after the other', async function (this: ServiceWorld, calls: number) {
	this.answer = (socket, req) => {
		const path = req.split(' ')[1]!;
		const answer = `HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n${path}`;
		socket.write(answer + answer);
	};

	this.answered = [];
	while (this.answered.length < calls) {
		this.answered.push(await call(this, `/${this.answered.length}`));
	}
});

Then('each call has its own answer, or is lost', function (this: ServiceWorld) {
	const wrong = this.answered.filter(({outcome, body}, index) => outcome === 'whole' && body !== `/${index}`);
	assert.deepEqual(wrong, []);
	assert.ok(this.answered.some(({outcome}) => outcome === 'whole'));
});
