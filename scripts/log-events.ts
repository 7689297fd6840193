/**
Writes the page of numbered log events, docs/LOG-EVENTS.md. Run it with `npm run log-events`.
*/
import {writeFileSync} from 'node:fs';
import {cataloguedEvents, logEventPage, pagePath} from './log-event-page.js';

writeFileSync(pagePath, logEventPage(await cataloguedEvents()));
