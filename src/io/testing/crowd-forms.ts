/**
What clients that do not behave send over HTTP, whatever the server is. Each form is one way to make a server take on work or memory that its client does not pay for.
*/
import {Buffer} from 'node:buffer';
import type {CrowdForm} from './client-crowd.js';

/** What a form needs to know of the server. */
export type CrowdTarget = {
	/** A host and a path that the server serves by POST. */
	readonly host: string;
	readonly path: string;
	/** Header lines that a proper request has, each with its line end. */
	readonly headers?: string;
};

/** Size of a piece of repeated requests, in bytes. */
const pieceBytes = 32_768;

const megabyte = 1_000_000;

/** @returns As many copies of the text as fit into a piece, at least one. */
export const repeated = (text: string): Buffer => Buffer.from(text.repeat(Math.max(1, Math.floor(pieceBytes / text.length))));

/** Endless pieces. */
export const endlessly = (...pieces: readonly Buffer[]): CrowdForm['pieces'] => function * () {
	while (true) {
		yield * pieces;
	}
};

/** A first piece, then others without end. */
export const beginning = (first: string, ...rest: readonly Buffer[]): CrowdForm['pieces'] => function * () {
	yield Buffer.from(first);
	yield * endlessly(...rest)(0);
};

const once = (...pieces: readonly Buffer[]): CrowdForm['pieces'] => () => pieces;

/** Single bytes. */
const bytewise = (text: string): CrowdForm['pieces'] => function * () {
	yield * [...text].map(byte => Buffer.from(byte));
};

const chunkOf = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Forms by what is sent. */
export const crowdForms = ({host, path, headers = ''}: CrowdTarget) => {
	const get = (target: string, headerLines = `Host: ${host}\r\n`, version = '1.1') => `GET ${target} HTTP/${version}\r\n${headerLines}\r\n`;
	const headOf = (extra: string) => `POST ${path} HTTP/1.1\r\nHost: ${host}\r\n${headers}${extra}\r\n`;
	const whole = headOf('Content-Length: 0\r\n');
	const chunked = headOf('Transfer-Encoding: chunked\r\n');
	const longName = 'n'.repeat(16_384);
	return {
		'a path that no route has': {pieces: endlessly(repeated(get('/nowhere')))},
		'a path that no route has, answers read': {pieces: endlessly(repeated(get('/nowhere'))), isRead: true},
		'an unknown host': {pieces: endlessly(repeated(get(path, 'Host: nowhere.example\r\n')))},
		'the path of readiness': {pieces: endlessly(repeated(get('/citronyard/readyz')))},
		'HTTP/1.0 with keep-alive and no host': {pieces: endlessly(repeated(get('/nowhere', 'Connection: keep-alive\r\n', '1.0')))},
		'HTTP/1.1 without a host': {pieces: endlessly(repeated(get('/nowhere', '')))},
		'ordinary requests': {pieces: endlessly(repeated(whole))},
		'ordinary requests, answers read': {pieces: endlessly(repeated(whole)), isRead: true},
		'requests that expect 100-continue': {pieces: endlessly(repeated(headOf('Content-Length: 0\r\nExpect: 100-continue\r\n')))},
		'requests that expect something else': {pieces: endlessly(repeated(headOf('Content-Length: 0\r\nExpect: a-miracle\r\n')))},
		'a path that no route has, with a body of 3 bytes': {pieces: endlessly(repeated(`POST /nowhere HTTP/1.1\r\nHost: ${host}\r\nContent-Length: 3\r\n\r\nabc`))},
		'a body in chunks of one byte': {pieces: beginning(chunked, repeated(chunkOf('x')))},
		'bodies of 1 MB without their last byte': {pieces: once(Buffer.from(headOf(`Content-Length: ${megabyte}\r\n`)), Buffer.alloc(megabyte - 1, 'b'))},
		'bodies of 1 MB': {pieces: once(Buffer.from(headOf(`Content-Length: ${megabyte}\r\n`)), Buffer.alloc(megabyte, 'b'))},
		'heads of 60 KB that never end': {pieces: once(Buffer.from(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n`), Buffer.from(Array.from({length: 60}, (_, i) => `x-${i}: ${'h'.repeat(1000)}\r\n`).join('')))},
		'heads of 15 KB that never end': {pieces: once(Buffer.from(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n`), Buffer.from(Array.from({length: 15}, (_, i) => `x-${i}: ${'h'.repeat(1000)}\r\n`).join('')))},
		nothing: {pieces: once()},
		'nothing, and close their writing side': {pieces: once(), end: 'halfClose'},
		'one request, and close': {pieces: once(Buffer.from(get('/nowhere'))), isRead: true, end: 'close'},
		'requests, and reset': {pieces: once(...Array.from({length: 4}, () => repeated(whole))), end: 'reset'},
		'a head in single bytes': {pieces: bytewise(whole.repeat(100)), isRead: true},
		'a body in single bytes': {pieces: bytewise(`${headOf('Content-Length: 5000\r\n')}${'b'.repeat(5000)}`), isRead: true},
		'a body of one byte a second': {pieces: bytewise(`${headOf('Content-Length: 5000\r\n')}${'b'.repeat(5000)}`), paceMs: 1000},
		'10,000 trailers': {pieces: beginning(`${chunked}0\r\n`, repeated('x-trailer: t\r\n'))},
		'a chunk extension without end': {pieces: beginning(`${chunked}1;`, repeated('extension'))},
		'empty lines without end': {pieces: endlessly(repeated('\r\n'))},
		'requests to upgrade': {pieces: endlessly(repeated(headOf('Connection: upgrade\r\nUpgrade: websocket\r\nContent-Length: 0\r\n')))},
		CONNECT: {pieces: endlessly(repeated(`CONNECT ${host}:443 HTTP/1.1\r\nHost: ${host}\r\n\r\n`))},
		'two lengths': {pieces: endlessly(repeated(headOf('Content-Length: 0\r\nContent-Length: 5\r\n')))},
		'a length beside chunks': {pieces: endlessly(repeated(`${headOf('Content-Length: 5\r\nTransfer-Encoding: chunked\r\n')}0\r\n\r\n`))},
		'a header name of 16 KB': {pieces: endlessly(Buffer.from(headOf(`${longName}: v\r\nContent-Length: 0\r\n`)))},
		'2,000 header lines': {pieces: endlessly(Buffer.from(headOf(`${'a:b\r\n'.repeat(2000)}Content-Length: 0\r\n`)))},
		'bytes that are no HTTP': {pieces: endlessly(Buffer.alloc(pieceBytes, 0x16))},
		'mixed forms': {
			pieces: endlessly(
				repeated(get('/nowhere')),
				repeated(whole),
				repeated(get('/nowhere', 'Connection: keep-alive\r\n', '1.0')),
				repeated(`${chunked}${chunkOf('abc')}0\r\n\r\n`),
				repeated(get('/nowhere', '')),
			),
		},
	} as const satisfies Readonly<Record<string, CrowdForm>>;
};

/** Name of a form that every server can be sent. */
export type CrowdFormName = keyof ReturnType<typeof crowdForms>;
