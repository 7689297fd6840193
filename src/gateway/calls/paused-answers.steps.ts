/**
Steps for answers that are written byte by byte and read with pauses, over real connections.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import type {RandomSource} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {until} from '../../common/testing/until.js';
import {HttpClient} from '../../io/http-client.js';
import {PausableSocket} from '../../io/pausable-socket.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {SystemClock} from '../../io/system-clock.js';
import {pauseProcess} from '../../io/testing/pause-process.js';
import {ReplicaConnectionPool} from '../replica-connection-pool.js';
import type {CallDialect, ReplicaId} from '../types.js';
import {Attempt} from './attempt.js';

type Framing = 'length' | 'lengthAndClose' | 'chunks' | 'chunksAndClose' | 'connection';

/** `inOrder`: the connection ends after the whole answer, or stays open. `short`, `reset`: it is closed or reset within the answer. `resetAfter`: it is reset after the whole answer. */
type End = 'inOrder' | 'short' | 'reset' | 'resetAfter';

type PlannedAnswer = {
	readonly framing: Framing;
	readonly body: Buffer;
	readonly end: End;
	/** Sizes of the pieces in which the answer is written. */
	readonly pieceBytes: number;
	/** Time between two pieces, in milliseconds; 0 for one after the other. */
	readonly gapMs: number;
	/** Time between the last byte and the end of the connection, in milliseconds. */
	readonly endDelayMs: number;
};

type ReadAnswer = {readonly isComplete: boolean; readonly body: Buffer};

type PausedWorld = TestWorld & {
	random: RandomSource;
	plans: readonly PlannedAnswer[];
	address: string;
	answers: readonly ReadAnswer[];
};

const readersAtOnce = 12;
const maxConnections = 1000;
const largeBytes = 400_000;
const smallBytes = 3000;
const silenceMs = 10_000;
const endOfHead = '\r\n\r\n';

const dialect: CallDialect = {
	readCall: () => ({requestId: '', isResumed: false, promptParts: []}),
	readKey: () => ({kind: 'none'}),
	toReplica: headers => [...headers],
	readAnswer: () => ({requestId: undefined, hasNotRun: false}),
};

const below = (random: RandomSource, limit: number): number => Math.floor(random.next() * limit);

const oneOf = <T>(random: RandomSource, values: readonly T[]): T => values[below(random, values.length)]!;

const inOrder: readonly End[] = ['inOrder', 'inOrder', 'inOrder'];

/** A connection that is closed in order within an answer that it delimits shows nothing of that. One that is kept and then reset would spoil the next answer. */
const endsOf: Readonly<Record<Framing, readonly End[]>> = {
	length: [...inOrder, 'short', 'reset'],
	lengthAndClose: [...inOrder, 'short', 'reset', 'resetAfter'],
	chunks: [...inOrder, 'short', 'reset'],
	chunksAndClose: [...inOrder, 'short', 'reset', 'resetAfter'],
	connection: [...inOrder, 'reset', 'resetAfter'],
};

const drawAnswer = (random: RandomSource): PlannedAnswer => {
	const framing = oneOf<Framing>(random, ['length', 'lengthAndClose', 'chunks', 'chunksAndClose', 'connection']);
	const size = 1 + below(random, random.next() < 0.5 ? smallBytes : largeBytes);
	return {
		framing,
		body: Buffer.from(Array.from({length: size}, (_, i) => ((i * 31) + size) % 251)),
		end: oneOf(random, endsOf[framing]),
		pieceBytes: 1 + below(random, random.next() < 0.5 ? largeBytes : 70_000),
		gapMs: below(random, 3),
		endDelayMs: oneOf(random, [0, 0, 1, 5]),
	};
};

const headerLines: Readonly<Record<Framing, (body: Buffer) => string>> = {
	length: ({length}) => `Content-Length: ${length}\r\n`,
	lengthAndClose: ({length}) => `Content-Length: ${length}\r\nConnection: close\r\n`,
	chunks: () => 'Transfer-Encoding: chunked\r\n',
	chunksAndClose: () => 'Transfer-Encoding: chunked\r\nConnection: close\r\n',
	connection: () => '',
};

const isChunked = (framing: Framing): boolean => framing === 'chunks' || framing === 'chunksAndClose';

/** The bytes of an answer, with its body in two chunks if it is sent in chunks. */
const bytesOf = ({framing, body}: PlannedAnswer): Buffer => {
	const middle = Math.ceil(body.length / 2);
	const chunks = [body.subarray(0, middle), body.subarray(middle)].filter(({length}) => length > 0);
	const framed = isChunked(framing)
		? [...chunks.flatMap(chunk => [Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n')]), Buffer.from(`0${endOfHead}`)]
		: [body];
	return Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\n${headerLines[framing](body)}\r\n`), ...framed]);
};

const keepsConnection = ({framing, end}: PlannedAnswer): boolean => end === 'inOrder' && (framing === 'length' || framing === 'chunks');

const write = async (socket: Socket, plan: PlannedAnswer) => {
	const whole = bytesOf(plan);
	const isEarly = plan.end === 'short' || plan.end === 'reset';
	const bytes = isEarly ? whole.subarray(0, whole.length - 1 - Math.floor(plan.body.length / 2)) : whole;
	for (let from = 0; from < bytes.length && !socket.destroyed; from += plan.pieceBytes) {
		socket.write(bytes.subarray(from, from + plan.pieceBytes));
		if (plan.gapMs > 0) {
			await pause(plan.gapMs);
		}
	}

	if (plan.endDelayMs > 0) {
		await pause(plan.endDelayMs);
	}

	if (plan.end === 'reset' || plan.end === 'resetAfter') {
		socket.resetAndDestroy();
	} else if (!keepsConnection(plan)) {
		socket.end();
	}
};

const requestPattern = /^GET \/(?<index>\d+) /v;

const serve = (plans: readonly PlannedAnswer[]): Server => createServer(socket => {
	socket.on('error', () => undefined);
	socket.on('data', bytes => {
		const index = requestPattern.exec(bytes.toString('latin1'))?.groups?.index;
		if (index !== undefined) {
			void write(socket, plans[Number(index)]!);
		}
	});
});

/** Starts a server of the planned answers. */
const startServer = async (world: PausedWorld) => {
	const server = serve(world.plans);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	world.register(() => {
		server.close();
	});
	world.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

Given('a server that draws the framing, size, pieces and end of each of {int} answers by seed {int}', async function (this: PausedWorld, count: number, seed: number) {
	this.random = new SeededRandom(seed);
	this.plans = Array.from({length: count}, () => drawAnswer(this.random));
	await startServer(this);
});

/** How long a reader pauses after a piece, in milliseconds; 0 for not at all. */
const drawPause = (random: RandomSource): number => random.next() < 0.5 ? 0 : 1 + below(random, 8);

const readByAttempt = async (world: PausedWorld, pool: ReplicaConnectionPool, index: number): Promise<ReadAnswer> => new Promise(resolve => {
	const chunks: Buffer[] = [];
	const clock = new SystemClock();
	const attempt: Attempt = new Attempt({
		connection: pool.acquire(maxConnections)!,
		reachability: {
			connectTimeoutMs: silenceMs, probeAfterMs: silenceMs, noteConnected: () => undefined, noteBytes: () => undefined, isReachable: async () => true,
		},
		clock,
		dialect,
		message: {method: 'GET', target: `/${index}`, headers: ['host', 'localhost']},
		fields: {requestId: String(index), replica: 'r1' as ReplicaId},
		timeouts: {silenceMs, canFailOver: false},
		isEligible: () => true,
		listener: {
			onHead: () => undefined,
			onBytes(bytes) {
				chunks.push(bytes);
				const ms = drawPause(world.random);
				if (ms > 0) {
					attempt.pause();
					setTimeout(() => {
						attempt.resume();
					}, ms);
				}
			},
			onEnd({kind}) {
				resolve({isComplete: kind === 'complete', body: Buffer.concat(chunks)});
			},
		},
	});
	attempt.start();
});

const readByClient = async (world: PausedWorld, client: HttpClient, index: number): Promise<ReadAnswer> => {
	const sent = await client.send({
		address: world.address, method: 'GET', path: `/${index}`, timeoutMs: silenceMs,
	});
	const chunks: Buffer[] = [];
	let isComplete = sent.isRight();
	try {
		for await (const chunk of sent.unsafeCoerce().body as AsyncIterable<Buffer>) {
			chunks.push(chunk);
			const ms = drawPause(world.random);
			if (ms > 0) {
				await pause(ms);
			}
		}
	} catch {
		isComplete = false;
	}

	return {isComplete, body: Buffer.concat(chunks)};
};

/** Reads all answers, some at a time, while the process is paused now and then. */
const readAll = async (world: PausedWorld, read: (index: number) => Promise<ReadAnswer>) => {
	const answers: ReadAnswer[] = [];
	let next = 0;
	const timer = setInterval(() => {
		pauseProcess(15);
	}, 60);
	await Promise.all(Array.from({length: readersAtOnce}, async () => {
		while (next < world.plans.length) {
			const index = next;
			next += 1;
			answers[index] = await read(index);
		}
	}));
	clearInterval(timer);
	world.answers = answers;
};

When('they are read by attempts, which pauses at random', {timeout: 60_000}, async function (this: PausedWorld) {
	const pool = this.register(new ReplicaConnectionPool(this.address, new SystemClock()));
	await readAll(this, async index => readByAttempt(this, pool, index));
});

When('they are read by the HTTP client, which pauses at random', {timeout: 60_000}, async function (this: PausedWorld) {
	const client = this.register(new HttpClient());
	await readAll(this, async index => readByClient(this, client, index));
});

const describe = ({framing, body, end}: PlannedAnswer, answer: ReadAnswer, index: number): string => `${index}: ${framing}, ${end}, ${answer.body.length} of ${body.length} bytes, ${answer.isComplete ? 'complete' : 'not complete'}`;

/** The answers that a condition finds wrong, described. */
const wrongAnswers = ({plans, answers}: PausedWorld, isWrong: (plan: PlannedAnswer, answer: ReadAnswer) => boolean): string[] => plans
	.map((plan, i) => isWrong(plan, answers[i]!) ? describe(plan, answers[i]!, i) : '')
	.filter(Boolean);

Then('each answer that ended in order is complete, and has all its bytes', function (this: PausedWorld) {
	assert.deepEqual(wrongAnswers(this, ({end, body}, answer) => end === 'inOrder' && !(answer.isComplete && answer.body.equals(body))), []);
});

Then('no answer that ended early is complete, and none has other bytes', function (this: PausedWorld) {
	const isEarly = ({end, framing}: PlannedAnswer) => end === 'short' || end === 'reset' || (end === 'resetAfter' && framing === 'connection');
	assert.deepEqual(wrongAnswers(this, (plan, answer) => isEarly(plan) && answer.isComplete), []);
	assert.deepEqual(wrongAnswers(this, ({body}, answer) => !body.subarray(0, answer.body.length).equals(answer.body)), []);
	assert.deepEqual(wrongAnswers(this, ({body}, answer) => answer.isComplete && answer.body.length < body.length), []);
});

When('an event of one connection breaks an invariant of the library while two answers are read', async function (this: PausedWorld) {
	this.plans = this.plans.map(plan => ({
		...plan, framing: 'length', end: 'inOrder', gapMs: 100, pieceBytes: Math.ceil(plan.body.length / 3),
	}));
	await startServer(this);
	const sockets: PausableSocket[] = [];
	const {connect} = PausableSocket.prototype;
	PausableSocket.prototype.connect = function (this: PausableSocket, ...args: unknown[]) {
		sockets.push(this);
		return Reflect.apply(connect, this, args) as PausableSocket;
	};

	const pool = this.register(new ReplicaConnectionPool(this.address, new SystemClock()));
	const answers = Promise.all([0, 1].map(async index => readByAttempt(this, pool, index)));
	PausableSocket.prototype.connect = connect;
	await until(() => sockets.length === 2 && sockets[0]!.bytesRead > 0, 'both answers have begun');
	sockets[0]!.prependOnceListener('readable', () => {
		throw new Error('an assertion of the library');
	});
	this.answers = await answers;
});

Then('the answer of that connection is lost, and the other one is complete', function (this: PausedWorld) {
	assert.deepEqual(this.answers.map(({isComplete}) => isComplete), [false, true]);
});
