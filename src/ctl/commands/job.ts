/**
`job submit`, `job watch`, `job results` and `job cancel`: batch jobs over the entry's files and batches.
*/
import {createHash} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {Left, Right, type Either} from 'purify-ts/Either';
import {exitCodes} from '../../io/exit-codes.js';
import {type Command, type Options} from '../command.js';
import {type CtlContext} from '../ctl-context.js';
import {ctlError, type CtlError} from '../ctl-error.js';
import {type Batch, type EntryClient} from '../entry-client.js';
import {ProgressDisplay} from '../progress-display.js';

const accountKeyOption = ['--account-key', 'The API key of the client account; CITRONYARD_ACCOUNT_KEY by default'] as const;

const defaultDueHours = '24';
const defaultEndpoint = '/v1/chat/completions';
const submitTries = 3;
const pollMs = 1000;

/** States in which a job changes no more. */
const finalStates = new Set(['completed', 'failed', 'expired', 'cancelled']);

const entryOf = (context: CtlContext, options: Options): Either<CtlError, EntryClient> => context.entry(options['account-key'] ?? process.env.CITRONYARD_ACCOUNT_KEY);

const tellBatch = ({output}: CtlContext, batch: Batch): void => {
	const {total = 0, completed = 0, failed = 0} = batch.request_counts ?? {};
	output.print(output.format === 'json' ? JSON.stringify(batch) : `${batch.id}  ${batch.status}  ${completed} completed, ${failed} failed, ${total} in all`);
};

const readItems = async (file: string | undefined): Promise<Either<CtlError, Uint8Array>> => {
	if (file === undefined) {
		return Left(ctlError(exitCodes.usage, 'give the items with -f FILE, one JSON object a line'));
	}

	try {
		return Right(await readFile(file));
	} catch (err) {
		return Left(ctlError(exitCodes.fileMissing, `${file}: cannot be read (${(err as NodeJS.ErrnoException).code ?? String(err)})`));
	}
};

/** All items of a job go to one path; the first line tells which. */
const endpointOf = (items: Uint8Array): string => {
	const firstLine = new TextDecoder().decode(items.subarray(0, items.indexOf(10) + 1 || undefined));
	try {
		return (JSON.parse(firstLine) as {url?: string}).url ?? defaultEndpoint;
	} catch {
		return defaultEndpoint;
	}
};

const dueHoursOf = ({'due-hours': typed = defaultDueHours}: Options): Either<CtlError, number> => {
	const hours = Number(typed);
	return Number.isInteger(hours) && hours > 0
		? Right(hours)
		: Left(ctlError(exitCodes.usage, `--due-hours wants a whole number of hours, not "${typed}"`));
};

/** Without a key of its own a job is named by its content, so that a file submitted twice by mistake is one job. */
const jobKeyOf = ({'job-key': given}: Options, items: Uint8Array): string => given ?? createHash('sha256').update(items).digest('hex');

const submit = async (entry: EntryClient, file: string, items: Uint8Array, job: {jobKey: string; dueHours: number}): Promise<Either<CtlError, Batch>> => {
	const uploaded = await entry.upload(path.basename(file), items);
	return uploaded.isLeft() ? uploaded : entry.submit({...job, inputFileId: uploaded.unsafeCoerce(), endpoint: endpointOf(items)});
};

/** The job key makes another try harmless, even when an earlier one was accepted and its answer lost. */
const submitWithTries = async (context: CtlContext, tries: number, once: () => Promise<Either<CtlError, Batch>>): Promise<Either<CtlError, Batch>> => {
	const submitted = await once();
	const mayTryAgain = submitted.isLeft() && submitted.extract().exitCode === exitCodes.unavailable && tries < submitTries;
	if (!mayTryAgain) {
		return submitted;
	}

	await context.clock.sleep(context.random.next() * pollMs * tries);
	return submitWithTries(context, tries + 1, once);
};

/** Hands a job over. */
export const jobSubmitCommand: Command = {
	usage: 'job submit',
	describe: 'Submit a batch job. Submitting it again under the same key finds the same job',
	options: [
		['-f, --file', 'The items, one JSON object a line'],
		accountKeyOption,
		['--job-key', 'Names the job; by default a hash of the items'],
		['--due-hours', 'Hours until the results are due; 24 by default'],
	],
	example: 'job submit -f items.jsonl --due-hours 8',
	async run(context, _args, options) {
		const items = await readItems(options.file);
		const ready = items.chain(content => dueHoursOf(options).chain(dueHours => entryOf(context, options).map(entry => ({content, dueHours, entry}))));
		if (ready.isLeft()) {
			return ready;
		}

		const {content, dueHours, entry} = ready.unsafeCoerce();
		const job = {jobKey: jobKeyOf(options, content), dueHours};
		const submitted = await submitWithTries(context, 1, async () => submit(entry, options.file ?? '', content, job));
		return submitted.ifRight(batch => {
			tellBatch(context, batch);
		});
	},
};

const follow = async (context: CtlContext, entry: EntryClient, id: string): Promise<Either<CtlError, Batch>> => {
	const display = new ProgressDisplay(context.output);
	try {
		for (;;) {
			const read = await entry.batch(id);
			if (read.isLeft()) {
				return read;
			}

			const batch = read.unsafeCoerce();
			display.show(batch);
			if (finalStates.has(batch.status) || context.signal.aborted) {
				return Right(batch);
			}

			await context.clock.sleep(pollMs);
		}
	} finally {
		display.dispose();
	}
};

/** Follows a job to its end. */
export const jobWatchCommand: Command = {
	usage: 'job watch <id>',
	describe: 'Follow a batch job until it has ended',
	options: [accountKeyOption],
	async run(context, [id = ''], options) {
		const entry = entryOf(context, options);
		if (entry.isLeft()) {
			return entry;
		}

		const followed = await follow(context, entry.unsafeCoerce(), id);
		return followed.ifRight(batch => {
			tellBatch(context, batch);
		});
	},
};

/** Prints results, then the items that failed with their reasons. */
export const jobResultsCommand: Command = {
	usage: 'job results <id>',
	describe: 'Print the results of a batch job: what was completed, then what failed',
	options: [accountKeyOption],
	async run(context, [id = ''], options) {
		const {output} = context;
		const client = entryOf(context, options);
		if (client.isLeft()) {
			return client;
		}

		const entry = client.unsafeCoerce();
		const read = await entry.batch(id);
		if (read.isLeft()) {
			return read;
		}

		const {status, output_file_id: done, error_file_id: failed} = read.unsafeCoerce();
		if (!finalStates.has(status)) {
			output.tell(`${id} is ${status}: these are the results so far`);
		}

		for (const fileId of [done, failed].filter(file => typeof file === 'string')) {
			const downloaded = await entry.download(fileId, part => {
				output.write(part);
			});
			if (downloaded.isLeft()) {
				return downloaded;
			}
		}

		return Right(undefined);
	},
};

/** Stops a job. */
export const jobCancelCommand: Command = {
	usage: 'job cancel <id>',
	describe: 'Cancel a batch job; what was completed stays readable',
	options: [accountKeyOption],
	async run(context, [id = ''], options) {
		const entry = entryOf(context, options);
		if (entry.isLeft()) {
			return entry;
		}

		const cancelled = await entry.unsafeCoerce().cancel(id);
		return cancelled.ifRight(batch => {
			tellBatch(context, batch);
		});
	},
};
