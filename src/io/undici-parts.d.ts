/**
Undici's dispatchers, imported by file: the whole package adds about 12 MB to an idle process, these parts about 8.
*/
declare module 'undici/lib/dispatcher/agent.js' {
	export {Agent as default} from 'undici';
}

declare module 'undici/lib/dispatcher/client.js' {
	export {Client as default} from 'undici';
}

declare module 'undici/lib/api/api-request.js' {
	import type {Dispatcher} from 'undici';

	export default function request(this: Dispatcher, options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData>;
}

declare module 'undici/lib/core/connect.js' {
	export {buildConnector as default} from 'undici';
}
