package pearladder.router.kserve;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import pearladder.kserve.Route;
import pearladder.rollout.RolloutAction;
import pearladder.rollout.RolloutController;
import pearladder.rollout.RolloutEvent;
import pearladder.rollout.RolloutProgress;
import pearladder.rollout.RolloutTarget;
import pearladder.router.core.RequestManager;
import pearladder.router.core.Timers;
import pearladder.routing.api.Event;
import pearladder.routing.api.TimeSpan;

/** The hands of the release module: its journal, its timer, and its wishes for copies handed on to the policy. */
public final class RolloutManager {
    /** Where orders are kept. Each thing that is begun ends once, in the order begun. */
    public interface Journal {
        /** Every order that stands there, oldest first. */
        List<RolloutTarget> orders();

        /** How far this router had come when the journal was opened. */
        List<RolloutProgress> reached();

        /** Keeps orders, all or none; a null failure says that they are safe. */
        void keep(List<RolloutTarget> orders, Consumer<String> failure);

        void keep(RolloutProgress reached, Consumer<String> failure);
    }

    private static final Logger LOG = LoggerFactory.getLogger("pearladder.releases");

    private final Timers timers;
    private final RouterConfig articles;
    private final RolloutController module;
    private final Consumer<Event> toPolicy;
    private final Journal journal;
    private final Map<RolloutTarget, List<Consumer<String>>> waiting = new HashMap<>();
    private String chosen;
    private long numbered;
    private List<RolloutTarget> together;
    private boolean ended;

    /** @param toPolicy takes the wishes for copies */
    public RolloutManager(Timers timers, RouterConfig articles, Journal journal, Consumer<Event> toPolicy) {
        this.timers = timers;
        this.articles = articles;
        this.journal = journal;
        this.toPolicy = toPolicy;
        this.module = new RolloutController(articles.facts().requestClasses().stream()
                .map(terms -> terms.deduplicationWindow())
                .reduce(TimeSpan.ZERO, TimeSpan::atLeast));
    }

    /** Follows what the journal holds; before the router is ready. */
    public void begin() {
        tell(new RolloutEvent.Restored(journal.orders(), journal.reached()));
    }

    /** Another router's newest target of a model. */
    public void heard(RolloutTarget target) {
        if (articles.modelOf(target.plan().model()) != null) {
            tell(new RolloutEvent.Heard(target));
        }
    }

    /** Nothing more reaches the module. */
    public void end() {
        ended = true;
    }

    /**
     * What a call is of.
     *
     * @param named the name that engines see
     * @param version null where the client names none
     * @param key what keeps together when versions shift, or null
     * @param account null where there are none
     * @param mark against repeats, or null
     */
    public record Wish(String named, String model, String version, String key, String account, String mark) {
        /** Account and document keep together, or the call stands alone. */
        private String together() {
            return key == null ? named : (account == null ? "" : account) + "\n" + key;
        }
    }

    /** The version that a call gets, empty for the model without one; who chose it hears how the call ends. */
    public record Chosen(String version, String function, RequestManager.CompletionListener ending) {}

    public Chosen choose(Wish wish) {
        if (wish.version() != null) {
            return new Chosen(
                    wish.version(),
                    Route.function(wish.model(), wish.version()),
                    RequestManager.CompletionListener.NONE);
        }
        String call = Long.toString(++numbered);
        chosen = "";
        tell(new RolloutEvent.CallCame(call, wish.model(), wish.together(), wish.mark() == null ? "" : wish.mark()));
        return new Chosen(chosen, Route.function(wish.model(), chosen), new RequestManager.CompletionListener() {
            @Override
            public void onCompleted(boolean well, List<String> engines) {
                tell(new RolloutEvent.CallEnded(call, well, engines));
            }

            @Override
            public void onClientDisconnected() {
                tell(new RolloutEvent.CallLeft(call));
            }
        });
    }

    /** The policy tells for what share copies of a function stand; functions without a version are none of ours. */
    public void standing(String function, double share) {
        int at = function.lastIndexOf('@');
        if (at > 0) {
            tell(new RolloutEvent.Standing(function.substring(0, at), function.substring(at + 1), share));
        }
    }

    /**
     * An operator's orders, kept together in one go.
     *
     * @param answers gets, for each order in turn, an empty text once it is kept and followed, or why it is not
     */
    public void order(List<RolloutTarget> targets, Consumer<List<String>> answers) {
        String[] told = new String[targets.size()];
        int[] left = {targets.size()};
        together = new ArrayList<>();
        for (int i = 0; i < told.length; i++) {
            int at = i;
            RolloutTarget target = targets.get(i);
            Consumer<String> answer = text -> {
                told[at] = text;
                if (--left[0] == 0) {
                    answers.accept(List.of(told));
                }
            };
            if (articles.modelOf(target.plan().model()) == null) {
                answer.accept("plan.model: unknown model " + target.plan().model()
                        + "; name one that this router's file knows");
                continue;
            }
            waiting.computeIfAbsent(target, same -> new ArrayList<>()).add(answer);
            tell(new RolloutEvent.Ordered(target));
        }
        List<RolloutTarget> kept = together;
        together = null;
        if (!kept.isEmpty()) {
            keep(kept);
        }
    }

    public List<String> status() {
        return module.status();
    }

    public List<RolloutTarget> targets() {
        return module.targets();
    }

    /** A sum over the newest targets: two routers with the same one know the same. */
    public String sum() {
        CRC32 crc = new CRC32();
        module.targets().stream()
                .map(target -> target.plan().model() + " " + target.epoch() + " " + target.by() + "\n")
                .sorted()
                .forEach(line -> crc.update(line.getBytes(StandardCharsets.UTF_8)));
        return Long.toHexString(crc.getValue());
    }

    public List<RolloutTarget> history() {
        return journal.orders();
    }

    private void tell(RolloutEvent event) {
        if (!ended) {
            module.on(timers.now(), event).forEach(this::act);
        }
    }

    private void act(RolloutAction action) {
        if (action instanceof RolloutAction.Use use) {
            chosen = use.version();
        } else if (action instanceof RolloutAction.Prepare prepare) {
            want(prepare.model(), prepare.version(), prepare.like(), prepare.share());
        } else if (action instanceof RolloutAction.Withdraw withdraw) {
            want(withdraw.model(), withdraw.version(), withdraw.version(), 0);
        } else if (action instanceof RolloutAction.Keep keep) {
            if (together != null) {
                together.add(keep.target());
            } else {
                keep(List.of(keep.target()));
            }
        } else if (action instanceof RolloutAction.Note note) {
            note(note.reached());
        } else if (action instanceof RolloutAction.Refuse refuse) {
            answer(refuse.target(), refuse.why());
        } else if (action instanceof RolloutAction.Wake wake) {
            timers.after(wake.after(), () -> tell(new RolloutEvent.Due()));
        } else if (action instanceof RolloutAction.Log log) {
            LOG.info(log.text());
        }
    }

    private void want(String model, String version, String like, double share) {
        RouterConfig.ModelTerms terms = articles.modelOf(model);
        if (terms != null) {
            toPolicy.accept(new Event.PrewarmRequested(
                    Route.function(model, version),
                    Route.function(model, like),
                    share,
                    terms.lanes(),
                    terms.memoryMb(),
                    terms.usualLoad()));
        }
    }

    /** A disk that can't take them leaves everything as it was. */
    private void keep(List<RolloutTarget> targets) {
        journal.keep(targets, failure -> {
            if (failure != null) {
                LOG.atError().addKeyValue("cause", failure).log("orders can't be kept and are refused");
            }
            for (RolloutTarget target : targets) {
                if (failure == null) {
                    tell(new RolloutEvent.Kept(target));
                }
                answer(
                        target,
                        failure == null
                                ? ""
                                : "the journal can't be written: " + failure
                                        + "; nothing was changed, make room or mend the disk and order again");
            }
        });
    }

    /** Where the disk can't take it, the release goes on; only a restart would then begin again at a lower step. */
    private void note(RolloutProgress reached) {
        journal.keep(reached, failure -> {
            if (failure != null) {
                LOG.atWarn().addKeyValue("cause", failure).log("the step that was reached can't be kept");
            }
        });
    }

    private void answer(RolloutTarget target, String refusal) {
        List<Consumer<String>> answers = waiting.remove(target);
        if (answers != null) {
            answers.forEach(answer -> answer.accept(refusal));
        }
    }
}
