import type {
	BeatReply,
	BeatRequest,
	CancelReply,
	CancelRequest,
	CollectReply,
	CollectRequest,
	GreetReply,
	GreetRequest,
	JoinReply,
	JoinRequest,
	PrepareReply,
	PrepareRequest,
	PushReply,
	Snapshot,
	StartReply,
	StartRequest,
} from '../../gen/sniperidge/v1/peer_pb.js';

/** Call bounds one request between two processes. */
export type Call = {timeoutMs: number; signal?: AbortSignal};

/** EntryPeer is an entry as its sidecars and the other entries call it. Methods reject when no reply came. */
export type EntryPeer = {
	beat(request: BeatRequest, call: Call): Promise<BeatReply>;
	join(request: JoinRequest, call: Call): Promise<JoinReply>;
	prepare(request: PrepareRequest, call: Call): Promise<PrepareReply>;
	push(request: Snapshot, call: Call): Promise<PushReply>;
};

/** SidecarPeer is a sidecar as entries call it. Methods reject when no reply came. */
export type SidecarPeer = {
	start(request: StartRequest, call: Call): Promise<StartReply>;
	cancel(request: CancelRequest, call: Call): Promise<CancelReply>;
	collect(request: CollectRequest, call: Call): Promise<CollectReply>;
	greet(request: GreetRequest, call: Call): Promise<GreetReply>;
};

/** Peers opens the other processes by address, each over one kept connection. */
export type Peers = {
	entry(address: string): EntryPeer;
	sidecar(address: string): SidecarPeer;
	close(): void;
};
