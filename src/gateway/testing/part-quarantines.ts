/**
Builds quarantines of prompt parts for tests of other components.
*/
import {branded} from '../../common/ids.js';
import type {Clock} from '../../common/services.js';
import {PartQuarantine} from '../quarantine/part-quarantine.js';
import type {MemberName} from '../types.js';

/** A quarantine of a process that is the first to test each part. */
export const testPartQuarantine = (clock: Clock, self = branded<MemberName>('front-1')): PartQuarantine => new PartQuarantine({
	self, clock, log: {emit: () => undefined}, trialRank: () => 0,
});
