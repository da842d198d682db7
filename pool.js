// What the sidecar's bundle takes of undici; see build.js. The index of undici gives dispatchers their
// methods in the same way.
import Dispatcher from './node_modules/undici/lib/dispatcher/dispatcher.js';
import request from './node_modules/undici/lib/api/api-request.js';

Object.assign(Dispatcher.prototype, {request});

export {default as Pool} from './node_modules/undici/lib/dispatcher/pool.js';
