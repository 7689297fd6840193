/**
Type declarations for the parts of undici that are imported by file: the complete package adds about 12 MB to an idle process, these parts about 8 MB.
*/
declare module 'undici/lib/dispatcher/agent.js' {
	export {Agent as default} from 'undici';
}

declare module 'undici/lib/dispatcher/client.js' {
	export {Client as default} from 'undici';
}

declare module 'undici/lib/dispatcher/pool.js' {
	export {Pool as default} from 'undici';
}

declare module 'undici/lib/handler/wrap-handler.js' {
	import type {Dispatcher} from 'undici';

	const WrapHandler: {
		/** Adapts a handler with undici's legacy callbacks to the current interface. */
		wrap(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler;
	};

	export default WrapHandler;
}

declare module 'undici/lib/api/api-request.js' {
	import type {Dispatcher} from 'undici';

	export default function request(this: Dispatcher, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData>;
}
