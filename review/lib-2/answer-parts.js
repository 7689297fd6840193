/**
The parts of a replica's answer, as the replica sends them and as a caller has to receive them.
*/

/** @returns One part: an event of a stream, or a line of a text under `/desk/`. */
export const partOf = (target, id, part) => target.startsWith('/desk/') ? `line ${part} of ${id}\n` : `id: ${part}\ndata: ${id} says ${part}\n\n`;

/** @returns The whole answer. */
export const wholeAnswer = (target, id, parts) => Array.from({length: parts}, (_, i) => partOf(target, id, i + 1)).join('');
