/**
Addresses as they stand in settings: `ip:port`, with brackets around an IPv6 number. Names are refused, since the processes reach each other by IP numbers alone and a lookup may hang.
*/
import {isIPv4, isIPv6} from 'node:net';

/** An IP number without brackets, and a port. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

const highestPort = 65_535;
const pattern = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:]+)):(?<port>\d{1,5})$/v;

/**
@param text - `ip:port` or `[ip]:port`.
@returns The parts, or `undefined` when the text is no such address. Port 0 is let through: a listener takes any free port for it.
*/
export const parseAddress = (text: string): Address | undefined => {
	const {v6, v4, port = ''} = pattern.exec(text)?.groups ?? {};
	const isNumber = v6 === undefined ? isIPv4(v4 ?? '') : isIPv6(v6);
	return isNumber && Number(port) <= highestPort ? {host: v6 ?? v4 ?? '', port: Number(port)} : undefined;
};

/**
@param address - The parts.
@returns `ip:port`, with brackets around an IPv6 number.
*/
export const formatAddress = ({host, port}: Address): string => isIPv6(host) ? `[${host}]:${port}` : `${host}:${port}`;
