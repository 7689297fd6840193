/**
Stands in the bundles for `node:http2`, in the way that undici itself does where that module is missing.
*/
'use strict';

module.exports = {constants: {}};
