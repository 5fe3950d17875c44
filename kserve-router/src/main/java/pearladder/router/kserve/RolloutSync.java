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
 * Learns the newest orders on releases from the other routers: from all of them before this one is ready, then from one
 * after the other. Guards against a router that was away, or cut off, while an order was given. Which order holds is the
 * release module's to say; the answer to a question whose sum is the same is empty, so that asking costs little.
 */
final class RolloutSync {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.releases");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long EVERY_MILLIS = 1000;
    private static final long WITHIN_MILLIS = 1000;
    /** An answer that tells nothing new. */
    private static final ResourceCost USUAL = new ResourceCost(0, 500, 0);

    private static final int LARGEST = 16 << 20;

    private final Vertx vertx;
    private final RolloutManager desk;
    private final AsyncRolloutJournal journal;
    private final BackgroundWork work;
    private final List<RouterConfig.Address> others;
    private final HttpClient client;
    private final Map<RouterConfig.Address, Boolean> answering = new HashMap<>();
    private int turn;
    private boolean learnt;
    private boolean closed;

    RolloutSync(
            Vertx vertx,
            RolloutManager desk,
            AsyncRolloutJournal journal,
            BackgroundWork work,
            List<RouterConfig.Address> others) {
        this.work = work;
        this.vertx = vertx;
        this.desk = desk;
        this.journal = journal;
        this.others = others;
        this.client = others.isEmpty()
                ? null
                : vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout((int) WITHIN_MILLIS),
                        new PoolOptions().setHttp1MaxSize(1));
    }

    /** Asks everybody; then one a second, in turn. */
    void begin() {
        List<Future<Void>> all = new ArrayList<>();
        others.forEach(other -> all.add(ask(other)));
        Future.join(all).onComplete(asked -> journal.written().onComplete(kept -> {
            learnt = true;
            next();
        }));
    }

    /** Whether everybody was asked once, and what they told is in force. */
    boolean learnt() {
        return learnt;
    }

    private void next() {
        if (!closed && !others.isEmpty()) {
            RouterConfig.Address other = others.get(turn++ % others.size());
            vertx.setTimer(EVERY_MILLIS, fired -> work.ask(
                            JobClasses.LEARN, "", USUAL, null, () -> ask(other).map(USUAL))
                    .onComplete(asked -> next()));
        }
    }

    private Future<Void> ask(RouterConfig.Address other) {
        if (closed) {
            // the turn came between this end and that of the background work
            return Future.succeededFuture();
        }
        return client.request(new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(other.host())
                        .setPort(other.port())
                        .setURI("/releases/newest?sum=" + desk.sum()))
                .compose(request ->
                        request.send().compose(HttpClientResponse::body).onFailure(broken -> request.reset()))
                .timeout(WITHIN_MILLIS, TimeUnit.MILLISECONDS)
                .<Void>map(body -> {
                    heard(other, body);
                    return null;
                })
                .otherwise(away -> {
                    stands(other, false, away.getMessage());
                    return null;
                });
    }

    private void heard(RouterConfig.Address other, Buffer body) {
        if (closed) {
            return;
        }
        try {
            JsonNode said = body.length() > LARGEST ? null : JSON.readTree(body.getBytes());
            if (said == null || !said.has("targets")) {
                stands(other, false, "its answer is none of a router");
                return;
            }
            stands(other, true, "");
            for (JsonNode target : said.path("targets")) {
                RolloutTarget told = JSON.treeToValue(target, RolloutTarget.class);
                if (AdminServer.whole(told)) {
                    desk.heard(told);
                }
            }
        } catch (IOException foreign) {
            stands(other, false, "its answer can't be read");
        }
    }

    /** One line when a router goes, and one when it is back. */
    private void stands(RouterConfig.Address other, boolean answers, String why) {
        Boolean before = answering.put(other, answers);
        if (before == null ? !answers : before != answers) {
            LOG.atInfo()
                    .addKeyValue("router", other.host() + ":" + other.port())
                    .addKeyValue("cause", why)
                    .log(answers ? "orders are learnt from it again" : "no orders can be learnt from it");
        }
    }

    void close() {
        closed = true;
        if (client != null) {
            client.close();
        }
    }
}
