/**
Sends an attempt's answer from the ledger over one connection.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readerHeader, type AttemptKey} from '../common/protocol.js';
import type {LedgerReader, RequestLedger} from '../common/request-ledger.js';
import {SseWriter} from '../io/sse-writer.js';

/** Whose answer goes where. */
export type AnswerStream = {
	readonly ledger: RequestLedger;
	readonly key: AttemptKey;
	/** The first chunk wanted. */
	readonly from: number;
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Called when the connection ends before the answer does. */
	readonly onLost: () => void;
};

/**
Sends what the ledger has of an answer, and the rest as it comes.

@returns The stream; undefined when the ledger has nothing to read, which is answered by 404.
*/
export const streamAnswer = ({
	ledger, key, from, req, res, onLost,
}: AnswerStream): SseWriter | undefined => {
	let writer: SseWriter | undefined;
	const open = () => {
		writer ??= new SseWriter(res);
		return writer;
	};

	const reader: LedgerReader = {
		name: String(req.headers[readerHeader] ?? ''),
		chunk(index, data) {
			open().send('chunk', data, index);
		},
		end(end) {
			open().send(end.event, end.data);
			open().end();
			res.once('close', () => {
				if (res.writableFinished) {
					ledger.markDelivered(key);
				}
			});
		},
		replaced() {
			open().end();
		},
	};
	res.once('close', () => {
		writer?.dispose();
		if (ledger.removeReader(key, reader)) {
			onLost();
		}
	});
	if (ledger.read(key, Math.max(0, from), reader)) {
		return open();
	}

	res.writeHead(404).end();
	return undefined;
};
