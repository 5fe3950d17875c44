package pearladder.router;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.api.Event;
import pearladder.api.Span;
import pearladder.kserve.Route;
import pearladder.release.ReleaseAction;
import pearladder.release.ReleaseEvent;
import pearladder.release.Reached;
import pearladder.release.Releases;
import pearladder.release.Target;

/** The hands of the release module: its journal, its timer, and its wishes for copies handed on to the policy. */
final class ReleaseDesk {
    private static final Logger LOG = LoggerFactory.getLogger("pearladder.releases");

    private final Vertx vertx;
    private final Articles articles;
    private final Releases module;
    private final Consumer<Event> toPolicy;
    private final Map<Target, List<Promise<String>>> waiting = new HashMap<>();
    private final ReleaseJournal journal;
    private String chosen;
    private List<Target> together;
    private boolean ended;

    /** Opens the journal and follows what it holds; before the router is ready. */
    ReleaseDesk(Vertx vertx, Articles articles, Consumer<Event> toPolicy) throws IOException {
        this.vertx = vertx;
        this.articles = articles;
        this.toPolicy = toPolicy;
        this.module = new Releases(articles.facts().categories().stream().map(terms -> terms.remembered())
                .reduce(Span.NONE, Span::atLeast));
        this.journal = ReleaseJournal.open(articles.data());
    }

    void begin() {
        tell(new ReleaseEvent.Restored(journal.orders(), journal.reached()));
    }

    /** Another router's newest target of a model. */
    void heard(Target target) {
        if (articles.modelOf(target.plan().model()) != null) {
            tell(new ReleaseEvent.Heard(target));
        }
    }

    /** Done once every order that was handed to the journal up to now is on disk and followed. */
    Future<Void> settled() {
        return vertx.executeBlocking(() -> null);
    }

    void end() {
        ended = true;
        try {
            journal.close();
        } catch (IOException lost) {
            LOG.warn("the journal could not be closed: {}", lost.getMessage());
        }
    }

    /** The version that a call gets which names none; empty for the model without one. */
    String version(String call, String model, String key, String mark) {
        chosen = "";
        tell(new ReleaseEvent.CallCame(call, model, key, mark));
        return chosen;
    }

    void ended(String call, boolean well, List<String> engines) {
        tell(new ReleaseEvent.CallEnded(call, well, engines));
    }

    void left(String call) {
        tell(new ReleaseEvent.CallLeft(call));
    }

    /** The policy tells for what share copies of a function stand; functions without a version are none of ours. */
    void standing(String function, double share) {
        int at = function.lastIndexOf('@');
        if (at > 0) {
            tell(new ReleaseEvent.Standing(function.substring(0, at), function.substring(at + 1), share));
        }
    }

    /**
     * An operator's orders, kept together in one go: the future brings, for each in turn, an empty text once it is kept and
     * followed, or why it is not.
     */
    Future<List<String>> order(List<Target> targets) {
        List<Future<String>> answers = new ArrayList<>();
        together = new ArrayList<>();
        for (Target target : targets) {
            if (articles.modelOf(target.plan().model()) == null) {
                answers.add(Future.succeededFuture("plan.model: unknown model " + target.plan().model()
                        + "; name one that this router's file knows"));
                continue;
            }
            Promise<String> done = Promise.promise();
            waiting.computeIfAbsent(target, same -> new ArrayList<>()).add(done);
            answers.add(done.future());
            tell(new ReleaseEvent.Ordered(target));
        }
        List<Target> kept = together;
        together = null;
        if (!kept.isEmpty()) {
            keep(kept);
        }
        return Future.all(answers).map(all -> all.list());
    }

    List<String> status() {
        return module.status();
    }

    List<Target> targets() {
        return module.targets();
    }

    /** A sum over the newest targets: two routers with the same one know the same. */
    String sum() {
        CRC32 crc = new CRC32();
        module.targets().stream().map(target -> target.plan().model() + " " + target.epoch() + " " + target.by() + "\n").sorted()
                .forEach(line -> crc.update(line.getBytes(StandardCharsets.UTF_8)));
        return Long.toHexString(crc.getValue());
    }

    List<Target> history() {
        return journal.orders();
    }

    private void tell(ReleaseEvent event) {
        if (!ended) {
            module.on(Conductor.now(), event).forEach(this::act);
        }
    }

    private void act(ReleaseAction action) {
        if (action instanceof ReleaseAction.Use use) {
            chosen = use.version();
        } else if (action instanceof ReleaseAction.Prepare prepare) {
            want(prepare.model(), prepare.version(), prepare.like(), prepare.share());
        } else if (action instanceof ReleaseAction.Withdraw withdraw) {
            want(withdraw.model(), withdraw.version(), withdraw.version(), 0);
        } else if (action instanceof ReleaseAction.Keep keep) {
            if (together != null) {
                together.add(keep.target());
            } else {
                keep(List.of(keep.target()));
            }
        } else if (action instanceof ReleaseAction.Note note) {
            note(note.reached());
        } else if (action instanceof ReleaseAction.Refuse refuse) {
            answer(refuse.target(), refuse.why());
        } else if (action instanceof ReleaseAction.Wake wake) {
            vertx.setTimer(Math.max(1, wake.after().inMillis()), fired -> tell(new ReleaseEvent.Due()));
        } else if (action instanceof ReleaseAction.Log log) {
            LOG.info(log.text());
        }
    }

    private void want(String model, String version, String like, double share) {
        Articles.ModelTerms terms = articles.modelOf(model);
        if (terms != null) {
            toPolicy.accept(new Event.Wanted(Route.function(model, version), Route.function(model, like), share, terms.lanes(),
                    terms.memoryMb(), terms.usualLoad()));
        }
    }

    /** One after the other, off the event loop; a disk that can't take them leaves everything as it was. */
    private void keep(List<Target> targets) {
        vertx.<Void>executeBlocking(() -> {
            List<Target> there = journal.orders();
            journal.append(targets.stream().filter(target -> !there.contains(target)).toList());
            return null;
        }).onComplete(kept -> targets.forEach(target -> {
            tell(new ReleaseEvent.Kept(target));
            answer(target, "");
        }), failed -> {
            LOG.atError().addKeyValue("cause", failed.getMessage()).log("orders can't be kept and are refused");
            targets.forEach(target -> answer(target, "the journal can't be written: " + failed.getMessage()
                    + "; nothing was changed, make room or mend the disk and order again"));
        });
    }

    /** Where the disk can't take it, the release goes on; only a restart would then begin again at a lower step. */
    private void note(Reached reached) {
        vertx.<Void>executeBlocking(() -> {
            journal.append(reached);
            return null;
        }).onFailure(failed -> LOG.atWarn().addKeyValue("cause", failed.getMessage())
                .log("the step that was reached can't be kept"));
    }

    private void answer(Target target, String refusal) {
        List<Promise<String>> done = waiting.remove(target);
        if (done != null) {
            done.forEach(one -> one.complete(refusal));
        }
    }
}
