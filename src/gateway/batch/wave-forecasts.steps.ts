/**
Steps for forecasts of waves, with simulated calls, a clock that the steps set, and peers that hand over their counts directly.
*/
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {branded} from '../../common/ids.js';
import {messageValidators} from '../../common/message-validators.js';
import type {Clock, RandomSource} from '../../common/services.js';
import type {TestWorld} from '../../common/testing/test-world.js';
import {SeededRandom} from '../../io/seeded-random.js';
import {ConfigBoard} from '../config-board.js';
import {LoadBoard} from '../load-board.js';
import {peerStateMethod, type PeerState} from '../peers/peer-state.js';
import type {Peer} from '../peers/peer-table.js';
import {Replica} from '../replica.js';
import {SquareWaveCalls, type CallWave} from '../testing/square-wave-calls.js';
import type {
	GatewayConfig, GatewayServiceName, MemberName, ReplicaId, SoftwareVersion,
} from '../types.js';
import {WaveForecasts} from './wave-forecasts.js';
import type {WaveForecast} from './wave-plan.js';

type ForecastWorld = TestWorld & {
	wave: CallWave;
	kind: string;
	/** Share of the calls that the process sends itself. */
	ownShare: number;
	/** Until when the counts of the peer that sends the others arrive, in milliseconds; `undefined` if none arrive. */
	peerEndsAt: number | undefined;
	badForecasts: PeerState['forecasts'];
	announced: number;
};

const service = branded<GatewayServiceName>('engines');
const stepMs = 50;
const slots = 161;

const configOf = (kind: string): GatewayConfig => ({
	version: 1, services: [], limits: {}, routes: [{
		name: 'notes', host: 'h', pathPrefix: '/', kind, targets: [{service, weight: 1}], batch: kind === 'batch' ? {dueMs: 18_000, giveUpMs: 180_000, maxWaitingTokens: 0} : undefined,
	}],
}) as unknown as GatewayConfig;

/** One process with its tables. */
class Process {
	now = 0;
	readonly loads = new LoadBoard();
	readonly replica = new Replica({
		id: branded<ReplicaId>('all'), service, address: '', failureDomain: 'hall', softwareVersion: branded<SoftwareVersion>('v1'), slots, isDraining: false,
	});

	readonly live: Peer[] = [];
	readonly forecasts: WaveForecasts;

	constructor(kind: string) {
		const clock: Clock = {now: () => this.now, wall: () => this.now, sleep: async () => undefined};
		const board = new ConfigBoard();
		board.applyIfNewer(configOf(kind));
		this.forecasts = new WaveForecasts({
			board, directory: {takingWork: () => [this.replica]}, loads: this.loads, peers: this, clock, metrics: {count: () => undefined, gauge: () => undefined, timing: () => undefined},
		});
	}
}

const stateOf = (member: string, forecasts: PeerState['forecasts']): PeerState => ({member: branded<MemberName>(member), forecasts}) as unknown as PeerState;

/** Plays the calls; each goes to the process itself or to its peer. */
const play = (world: ForecastWorld, untilMs: number, onStep: (now: number, forecast: WaveForecast | undefined) => void) => {
	const {wave, kind, ownShare, peerEndsAt, badForecasts} = world;
	const own = new Process(kind);
	const peer = new Process(kind);
	own.live.push(...peerEndsAt === undefined ? [] : [{} as unknown as Peer]);
	const draws: RandomSource = new SeededRandom(7);
	const all = new LoadBoard();
	const everywhere = new Replica(own.replica.record);
	all.onOnlineCall(() => {
		const isPeerLost = own.now >= (peerEndsAt ?? Infinity);
		const {loads, replica} = isPeerLost || draws.next() < ownShare ? own : peer;
		loads.acquireSlot(replica, 'online')();
	});
	const calls = new SquareWaveCalls(wave, {random: new SeededRandom(1), loads: all, replica: everywhere});
	Array.from({length: untilMs / stepMs}, (_, i) => i * stepMs).forEach(now => {
		own.now = now;
		peer.now = now;
		calls.advance(now);
		own.replica.setPeerLoad(branded<MemberName>('peer'), {online: everywhere.online, batch: 0});
		own.forecasts.review();
		peer.forecasts.review();
		const {forecasts} = peer.forecasts.announcement();
		if (forecasts && now < (peerEndsAt ?? 0)) {
			own.forecasts.receive(stateOf('peer', forecasts));
		}

		if (badForecasts && now % 1000 === 0) {
			own.forecasts.receive(stateOf('bad', badForecasts));
		}

		world.announced += own.forecasts.announcement().forecasts ? 1 : 0;
		onStep(now, own.forecasts.of(service));
	});
};

const setWave = (world: ForecastWorld, wave: Partial<CallWave>) => {
	world.wave = {
		perSecond: 105, callMs: 800, calmMs: 3800, waveMs: 2800, calmRate: 0.38, waveRate: 1.84, ...wave,
	};
	world.kind = 'batch';
	world.ownShare = 1;
	world.announced = 0;
};

Given('calls in square waves of {int} ms with {int} ms between them', function (this: ForecastWorld, waveMs: number, calmMs: number) {
	setWave(this, {waveMs, calmMs});
});

Given('calls in square waves of {int} ms with {int} ms between them, until {int} s', function (this: ForecastWorld, waveMs: number, calmMs: number, seconds: number) {
	setWave(this, {waveMs, calmMs, wavesEndAt: 1000 * seconds});
});

Given('steady calls', function (this: ForecastWorld) {
	setWave(this, {calmRate: 1, waveRate: 1});
});

Given('a process that sends a tenth of them, and hears no counts from others', function (this: ForecastWorld) {
	this.ownShare = 0.1;
});

Given('a process that sends half of them, and hears no counts from others', function (this: ForecastWorld) {
	this.ownShare = 0.5;
});

Given('a process that sends a hundredth of them, and hears the counts of a peer that sends the others', function (this: ForecastWorld) {
	this.ownShare = 0.01;
	this.peerEndsAt = Infinity;
});

Given('a process that sends half of them, and hears the counts of a peer that ends after {int} s', function (this: ForecastWorld, seconds: number) {
	this.ownShare = 0.5;
	this.peerEndsAt = 1000 * seconds;
});

Given('routes of other kinds only', function (this: ForecastWorld) {
	this.kind = 'stream';
});

Given('a peer that announces {int} counts of {int} for service {string} in each second', function (this: ForecastWorld, counts: number, rate: number, name: string) {
	this.badForecasts = [{service: branded<GatewayServiceName>(name), perSecond: Array.from({length: counts}, () => rate)}];
});

const lastForecast = (world: ForecastWorld, seconds: number): WaveForecast | undefined => {
	let last: WaveForecast | undefined;
	play(world, 1000 * seconds, (_, forecast) => {
		last = forecast;
	});
	return last;
};

Then('no wave is foreseen after {int} s', function (this: ForecastWorld, seconds: number) {
	assert.equal(lastForecast(this, seconds), undefined);
});

Then('after {int} s no wave is foreseen', function (this: ForecastWorld, seconds: number) {
	assert.equal(lastForecast(this, seconds), undefined);
});

/** Waves after the first foreseen one that are looked at. */
const waves = 4;

/** One second before each wave. */
const checkBeforeWaves = (world: ForecastWorld, seconds: number, check: (forecast: WaveForecast | undefined, now: number) => void) => {
	const {calmMs, waveMs} = world.wave;
	const repeatMs = calmMs + waveMs;
	play(world, (1000 * seconds) + (waves * repeatMs), (now, forecast) => {
		if (now >= 1000 * seconds && now % repeatMs === calmMs - 1000) {
			check(forecast, now);
		}
	});
};

Then('after {int} s each wave is foreseen to within {int} ms', function (this: ForecastWorld, seconds: number, toleranceMs: number) {
	checkBeforeWaves(this, seconds, (forecast, now) => {
		assert.ok(forecast && Math.abs(forecast.msToRise - 1000) <= toleranceMs, `${now}: ${JSON.stringify(forecast)}`);
	});
});

Then('after {int} s no wave is foreseen at a time that is wrong by more than {int} ms', function (this: ForecastWorld, seconds: number, toleranceMs: number) {
	checkBeforeWaves(this, seconds, (forecast, now) => {
		assert.ok(!forecast || Math.abs(forecast.msToRise - 1000) <= toleranceMs, `${now}: ${JSON.stringify(forecast)}`);
	});
});

Then('the wave is foreseen to take at least {int} of 161 slots', function (this: ForecastWorld, least: number) {
	const forecast = lastForecast(this, 30);
	assert.ok((forecast?.waveSlots ?? 0) >= least, JSON.stringify(forecast));
});

Then('nothing was announced', function (this: ForecastWorld) {
	assert.equal(this.announced, 0);
});

Then('forecasts {string} are {word}', (forecasts: string, verdict: string) => {
	const state = {
		member: 'm', address: 'a', rpcAddress: 'a', reachesObjectApi: true, startedAt: 1, seq: 1, isLeaving: false, loads: [], jobs: [], forecasts: JSON.parse(forecasts.replaceAll('\'', '"')) as unknown,
	};
	assert.equal(messageValidators[peerStateMethod]!(state), verdict === 'accepted');
});

Then('announcements to {int} peers take at most {int} bytes, and one is due each {int} ms', function (this: ForecastWorld, peers: number, bytes: number, intervalMs: number) {
	const announcing = new Process(this.kind);
	announcing.live.push(...Array.from({length: peers}, () => ({}) as unknown as Peer));
	const calls = new SquareWaveCalls({...this.wave, perSecond: 105 / (peers + 1)}, {random: new SeededRandom(1), loads: announcing.loads, replica: announcing.replica});
	const sent = Array.from({length: 20_000 / stepMs}, (_, i) => i * stepMs).flatMap(now => {
		announcing.now = now;
		calls.advance(now);
		announcing.forecasts.review();
		const section = announcing.forecasts.announcement();
		return section.forecasts ? [{now, bytes: JSON.stringify(section).length}] : [];
	});
	assert.ok(Math.max(...sent.map(one => one.bytes)) <= bytes, String(Math.max(...sent.map(one => one.bytes))));
	assert.equal(sent[2]!.now - sent[1]!.now, intervalMs);
});
