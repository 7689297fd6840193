/**
A stand-in for a replica as a process of its own, so that it can be killed: `node crashing-replica.js '{"id": …, "port": …, "parts": …, "gapMs": …, "isUnframed": …}'`.

If they are unframed, its answers have neither a length nor chunks and end with their connection. Under `/desk/` an answer is a text, elsewhere a stream of numbered events. It writes a line for each run that it begins and for each that it completes.
*/
import {createServer} from 'node:http';
import process from 'node:process';
import {once} from 'node:events';
import {setTimeout as pause} from 'node:timers/promises';
import {partOf} from './answer-parts.js';

const {
	id: instance, port, parts, gapMs, isUnframed,
} = JSON.parse(process.argv[2]);

const report = line => {
	process.stdout.write(`${line}\n`);
};

const serve = async (req, res) => {
	req.resume();
	await once(req, 'end');
	const id = req.headers['x-citronyard-request-id'];
	const expected = req.headers['x-citronyard-expect-instance'];
	if (expected !== undefined && expected !== instance) {
		res.writeHead(421, {'x-citronyard-request-id': id, 'x-citronyard-not-executed': '1', 'content-length': '0'}).end();
		return;
	}

	const first = Number(req.headers['last-event-id'] ?? 0) + 1;
	report(`runs ${id} from part ${first}`);
	res.useChunkedEncodingByDefault = !isUnframed;
	res.writeHead(200, {
		'content-type': req.url.startsWith('/desk/') ? 'text/plain' : 'text/event-stream', 'x-citronyard-request-id': id, 'x-citronyard-response-stamp': `stamp.${instance}`, ...(isUnframed && {connection: 'close'}),
	});
	for (let part = first; part <= parts && !res.destroyed; part += 1) {
		res.write(partOf(req.url, id, part));
		await pause(gapMs);
	}

	if (!res.destroyed) {
		report(`has completed ${id}`);
		res.end();
	}
};

createServer((req, res) => {
	res.on('error', () => undefined);
	serve(req, res).catch(() => {
		res.destroy();
	});
}).listen(port, '127.0.0.1', () => {
	report('listens');
});
