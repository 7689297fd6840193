/**
Type declarations for the parts of prom-client that are imported by file: the whole package also loads its gateway client, TLS, the cluster module and the interfaces of OpenTelemetry, which is a good part of a program's start.
*/
declare module 'prom-client/lib/counter.js' {
	export {Counter as default} from 'prom-client';
}

declare module 'prom-client/lib/gauge.js' {
	export {Gauge as default} from 'prom-client';
}

declare module 'prom-client/lib/histogram.js' {
	export {Histogram as default} from 'prom-client';
}

declare module 'prom-client/lib/registry.js' {
	export {Registry as default} from 'prom-client';
}
