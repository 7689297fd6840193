/**
The part of `parse-prometheus-text-format` that features use; the package brings no types.
*/
declare module 'parse-prometheus-text-format' {
	/** One sample of a family; a histogram's has `buckets`, by upper bound, in place of a value. */
	export type Sample = {
		readonly value?: string;
		readonly labels?: Readonly<Record<string, string>>;
		readonly buckets?: Readonly<Record<string, string>>;
		readonly count?: string;
		readonly sum?: string;
	};

	/** All samples of one name. */
	export type Family = {
		readonly name: string;
		readonly help: string;
		readonly type: 'COUNTER' | 'GAUGE' | 'HISTOGRAM' | 'SUMMARY' | 'UNTYPED';
		readonly metrics: readonly Sample[];
	};

	const parse: (text: string) => Family[];
	export default parse;
}
