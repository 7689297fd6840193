/**
Parses and formats addresses as used in settings: `ip:port`, with brackets around an IPv6 address. Host names are rejected, since processes connect to each other by IP address only and a name lookup may hang.
*/
import {isIPv4, isIPv6} from 'node:net';

/** An IP address without brackets, and a port. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

const highestPort = 65_535;
const pattern = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:]+)):(?<port>\d{1,5})$/v;

/**
@param text - `ip:port` or `[ip]:port`.
@returns The host and port, or `undefined` when the text is not a valid address. Port 0 is valid: a listener binds any free port for it.
*/
export const parseAddress = (text: string): Address | undefined => {
	const {v6, v4, port = ''} = pattern.exec(text)?.groups ?? {};
	const isNumber = v6 === undefined ? isIPv4(v4 ?? '') : isIPv6(v6);
	return isNumber && Number(port) <= highestPort ? {host: v6 ?? v4 ?? '', port: Number(port)} : undefined;
};

/** Whether a value is an address that can be connected to. */
export const isPeerAddress = (value: unknown): value is string => typeof value === 'string' && (parseAddress(value)?.port ?? 0) > 0;

/**
@returns `ip:port`, with brackets around an IPv6 address.
*/
export const formatAddress = ({host, port}: Address): string => isIPv6(host) ? `[${host}]:${port}` : `${host}:${port}`;
