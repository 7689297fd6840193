/**
Reads log files line by line, so that a file may be larger than memory as long as what is wanted of it is not.
*/
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {Left, Right, type Either} from 'purify-ts/Either';
import {exitCodes} from '../../io/exit-codes.js';
import {ctlError, type CtlError} from '../ctl-error.js';
import {readLogLine, type LogLine} from './log-line.js';

/** Stands for standard input among the names of files. */
export const standardInput = '-';

const readFile = async (file: string, isWanted: (line: string) => boolean): Promise<Either<CtlError, LogLine[]>> => {
	const input = file === standardInput ? process.stdin : createReadStream(file, 'utf8');
	const found: LogLine[] = [];
	try {
		for await (const line of createInterface({input, crlfDelay: Infinity})) {
			const event = isWanted(line) ? readLogLine(line) : undefined;
			if (event) {
				found.push(event);
			}
		}
	} catch (err) {
		return Left(ctlError(exitCodes.fileMissing, `${file}: cannot be read (${(err as NodeJS.ErrnoException).code ?? String(err)})`));
	}

	return Right(found);
};

/**
@param files - Names of files; `-` is standard input.
@param isWanted - Asked with each line before it is parsed, since parsing costs most.
@returns The events of all files, file by file; the first file that cannot be read fails the whole.
*/
export const readLogFiles = async (files: readonly string[], isWanted: (line: string) => boolean): Promise<Either<CtlError, LogLine[]>> => {
	const read = await Promise.all(files.map(async file => readFile(file, isWanted)));
	const failed = read.find(outcome => outcome.isLeft());
	return failed ?? Right(read.flatMap(outcome => outcome.orDefault([])));
};
