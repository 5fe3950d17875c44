package pearladder.router.kserve;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.background.JobClasses;
import pearladder.background.ResourceCost;
import pearladder.rollout.RolloutTarget;

/**
 * Fetches the newest rollout targets from the other routers: from all of them before this router is ready, then from
 * one peer at a time in turn. A router that was down or partitioned while a target was set receives the target this
 * way. The rollout controller decides which target takes effect. A peer whose targets have the same checksum responds
 * with none, so that polling is cheap.
 */
final class RolloutSync {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.releases");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long POLL_INTERVAL_MILLIS = 1000;
    private static final long FETCH_TIMEOUT_MILLIS = 1000;
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    /** The cost of fetching a response without targets. */
    private static final ResourceCost TYPICAL_COST = new ResourceCost(0, 500, 0);

    private final Vertx vertx;
    private final RolloutManager rolloutManager;
    private final AsyncRolloutJournal journal;
    private final BackgroundWork backgroundWork;
    private final List<RouterConfig.Address> peers;
    /** Null where there are no peers. */
    private final HttpClient client;

    private final Map<RouterConfig.Address, Boolean> reachable = new HashMap<>();
    private int nextPeer;
    private boolean synced;
    private boolean closed;

    RolloutSync(
            Vertx vertx,
            RolloutManager rolloutManager,
            AsyncRolloutJournal journal,
            BackgroundWork backgroundWork,
            List<RouterConfig.Address> peers) {
        this.vertx = vertx;
        this.rolloutManager = rolloutManager;
        this.journal = journal;
        this.backgroundWork = backgroundWork;
        this.peers = peers;
        this.client = peers.isEmpty() ? null : createClient(vertx);
    }

    private static HttpClient createClient(Vertx vertx) {
        return vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) FETCH_TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(1));
    }

    /** Fetches the targets of every peer once, then those of one peer per second in turn. */
    void start() {
        List<Future<Void>> responses = new ArrayList<>();
        peers.forEach(peer -> responses.add(fetch(peer)));
        Future.join(responses).onComplete(fetched -> journal.flush().onComplete(written -> {
            synced = true;
            scheduleNext();
        }));
    }

    /** Returns whether every peer was polled once and the targets that were received are in effect. */
    boolean isSynced() {
        return synced;
    }

    private void scheduleNext() {
        if (!closed && !peers.isEmpty()) {
            RouterConfig.Address peer = peers.get(nextPeer++ % peers.size());
            vertx.setTimer(POLL_INTERVAL_MILLIS, timerId -> submitFetch(peer).onComplete(done -> scheduleNext()));
        }
    }

    private Future<Void> submitFetch(RouterConfig.Address peer) {
        return backgroundWork.submit(
                JobClasses.SYNC, "", TYPICAL_COST, null, () -> fetch(peer).map(TYPICAL_COST));
    }

    /** Fetches the targets of a peer. The future always succeeds, at the latest at the timeout. */
    private Future<Void> fetch(RouterConfig.Address peer) {
        if (closed) {
            // the job was started after this sync was closed and before the background work was stopped
            return Future.succeededFuture();
        }
        return client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(peer.host())
                        .setPort(peer.port())
                        .setURI("/releases/newest?sum=" + rolloutManager.checksum()))
                .compose(request ->
                        request.send().compose(HttpClientResponse::body).onFailure(failure -> request.reset()))
                .timeout(FETCH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .<Void>map(body -> {
                    onResponse(peer, body);
                    return null;
                })
                .otherwise(failure -> {
                    updateReachable(peer, false, failure.getMessage());
                    return null;
                });
    }

    private void onResponse(RouterConfig.Address peer, Buffer body) {
        if (closed) {
            return;
        }
        try {
            JsonNode response = body.length() > MAX_RESPONSE_BYTES ? null : JSON.readTree(body.getBytes());
            if (response == null || !response.has("targets")) {
                updateReachable(peer, false, "the response is not that of a router");
                return;
            }
            updateReachable(peer, true, "");
            applyTargets(response.path("targets"));
        } catch (IOException malformed) {
            updateReachable(peer, false, "the response can't be parsed");
        }
    }

    private void applyTargets(JsonNode targets) throws IOException {
        for (JsonNode node : targets) {
            RolloutTarget target = JSON.treeToValue(node, RolloutTarget.class);
            if (AdminServer.isComplete(target)) {
                rolloutManager.onPeerTarget(target);
            }
        }
    }

    /** Logs when a peer becomes unreachable, and when it is reachable again. */
    private void updateReachable(RouterConfig.Address peer, boolean isReachable, String cause) {
        Boolean previous = reachable.put(peer, isReachable);
        boolean changed = previous == null ? !isReachable : previous != isReachable;
        if (changed) {
            LOG.atInfo()
                    .addKeyValue("router", peer.host() + ":" + peer.port())
                    .addKeyValue("cause", cause)
                    .log(
                            isReachable
                                    ? "rollout targets can be fetched from this peer again"
                                    : "rollout targets can't be fetched from this peer");
        }
    }

    void close() {
        closed = true;
        if (client != null) {
            client.close();
        }
    }
}
