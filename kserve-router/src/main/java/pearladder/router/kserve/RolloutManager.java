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
import pearladder.router.core.CompletionListener;
import pearladder.router.core.Timers;
import pearladder.routing.api.Event;
import pearladder.routing.api.TimeSpan;

/**
 * Executes the decisions of a {@link RolloutController}: writes its journal, sets its timers and passes its prewarm
 * requests to the routing policy. Confined to the event loop.
 */
public final class RolloutManager {
    /**
     * The durable journal of rollouts. Each write ends once, and writes end in the order in which they were begun.
     */
    public interface Journal {
        /** Every target that was accepted, oldest first. */
        List<RolloutTarget> targets();

        /** The progress that this router had made when the journal was opened. */
        List<RolloutProgress> progress();

        /**
         * Writes targets, all or none.
         *
         * @param failure null once they are durable, or why they could not be written
         */
        void write(List<RolloutTarget> targets, Consumer<String> failure);

        /**
         * Writes progress.
         *
         * @param failure null once it is durable, or why it could not be written
         */
        void write(RolloutProgress progress, Consumer<String> failure);
    }

    /**
     * What a request says about the version it is to get.
     *
     * @param requestId the request's id
     * @param model that it names
     * @param version null where the client leaves the choice to the router
     * @param groupKey requests with the same key get the same version, or null
     * @param tenant its tenant, or null
     * @param idempotencyKey its idempotency key, or null
     */
    public record VersionRequest(
            String requestId, String model, String version, String groupKey, String tenant, String idempotencyKey) {
        /** The requests of one tenant with one key form a group; a request without a key is one by itself. */
        private String group() {
            return groupKey == null ? requestId : (tenant == null ? "" : tenant) + "\n" + groupKey;
        }
    }

    /**
     * The version that a request gets.
     *
     * @param version empty for the model without a version
     * @param function the function of model and version
     * @param completionListener told how the request ended
     */
    public record ChosenVersion(String version, String function, CompletionListener completionListener) {}

    private static final Logger LOG = LoggerFactory.getLogger("pearladder.releases");
    /** Separates model and version in a function's name. */
    private static final char VERSION_SEPARATOR = '@';

    private final Timers timers;
    private final RouterConfig config;
    private final RolloutController controller;
    private final Consumer<Event> policyEvents;
    private final Journal journal;
    private final Map<RolloutTarget, List<Consumer<String>>> pendingAnswers = new HashMap<>();
    /** What the controller chose last. */
    private String chosenVersion;

    private long requestCount;
    /** Targets of one request that are to be written together; null while there is no such request. */
    private List<RolloutTarget> batch;

    private boolean stopped;

    /**
     * Creates a manager; {@link #start} starts it.
     *
     * @param policyEvents passes prewarm requests to the routing policy
     */
    public RolloutManager(Timers timers, RouterConfig config, Journal journal, Consumer<Event> policyEvents) {
        this.timers = timers;
        this.config = config;
        this.journal = journal;
        this.policyEvents = policyEvents;
        this.controller = new RolloutController(longestDeduplicationWindow(config));
    }

    private static TimeSpan longestDeduplicationWindow(RouterConfig config) {
        return config.routingSettings().requestClasses().stream()
                .map(requestClass -> requestClass.deduplicationWindow())
                .reduce(TimeSpan.ZERO, TimeSpan::atLeast);
    }

    /** Continues the rollouts of the journal; called before the router is ready. */
    public void start() {
        handle(new RolloutEvent.JournalRestored(journal.targets(), journal.progress()));
    }

    /** Ends the controller's part: later events do not reach it. */
    public void stop() {
        stopped = true;
    }

    /** Another router has told its newest target of a model. */
    public void onPeerTarget(RolloutTarget target) {
        if (config.modelSettings(target.plan().model()) != null) {
            handle(new RolloutEvent.TargetReceived(target));
        }
    }

    /** Chooses the version that a request gets. */
    public ChosenVersion choose(VersionRequest wish) {
        if (wish.version() != null) {
            return new ChosenVersion(
                    wish.version(), Route.function(wish.model(), wish.version()), CompletionListener.NONE);
        }
        String requestId = Long.toString(++requestCount);
        String idempotencyKey = wish.idempotencyKey() == null ? "" : wish.idempotencyKey();
        chosenVersion = "";
        handle(new RolloutEvent.RequestReceived(requestId, wish.model(), wish.group(), idempotencyKey));
        String function = Route.function(wish.model(), chosenVersion);
        return new ChosenVersion(chosenVersion, function, completionListener(requestId));
    }

    private CompletionListener completionListener(String requestId) {
        return new CompletionListener() {
            @Override
            public void onCompleted(boolean successful, List<String> workers) {
                handle(new RolloutEvent.RequestCompleted(requestId, successful, workers));
            }

            @Override
            public void onClientDisconnected() {
                handle(new RolloutEvent.ClientDisconnected(requestId));
            }
        };
    }

    /** The policy reports the prewarming of a function; functions without a version take no part in rollouts. */
    public void onPrewarmProgress(String function, double share) {
        int separator = function.lastIndexOf(VERSION_SEPARATOR);
        if (separator > 0) {
            String model = function.substring(0, separator);
            String version = function.substring(separator + 1);
            handle(new RolloutEvent.InstancesReady(model, version, share));
        }
    }

    /**
     * Applies an operator's targets, which are written to the journal together.
     *
     * @param answers called once with a text for each target in turn: empty where it is durable and followed, or
     *     why it was refused
     */
    public void setTargets(List<RolloutTarget> targets, Consumer<List<String>> answers) {
        AnswerCollector collector = new AnswerCollector(targets.size(), answers);
        batch = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            setTargets(targets.get(i), collector.forTarget(i));
        }
        List<RolloutTarget> accepted = batch;
        batch = null;
        if (!accepted.isEmpty()) {
            writeTargets(accepted);
        }
    }

    private void setTargets(RolloutTarget target, Consumer<String> answer) {
        String model = target.plan().model();
        if (config.modelSettings(model) == null) {
            answer.accept("plan.model: unknown model " + model + "; name one that this router's file knows");
            return;
        }
        pendingAnswers.computeIfAbsent(target, same -> new ArrayList<>()).add(answer);
        handle(new RolloutEvent.TargetOrdered(target));
    }

    /** Collects the answers to several targets, and passes them on once it has all. */
    private static final class AnswerCollector {
        private final String[] answers;
        private final Consumer<List<String>> whenComplete;
        private int missing;

        AnswerCollector(int count, Consumer<List<String>> whenComplete) {
            this.answers = new String[count];
            this.missing = count;
            this.whenComplete = whenComplete;
        }

        Consumer<String> forTarget(int index) {
            return answer -> {
                answers[index] = answer;
                if (--missing == 0) {
                    whenComplete.accept(List.of(answers));
                }
            };
        }
    }

    /** A line about each rollout, for operators. */
    public List<String> status() {
        return controller.status();
    }

    /** The newest target of each model. */
    public List<RolloutTarget> targets() {
        return controller.targets();
    }

    /** A checksum of the newest targets: two routers with the same one have the same targets. */
    public String checksum() {
        CRC32 crc = new CRC32();
        controller.targets().stream()
                .map(target -> target.plan().model() + " " + target.epoch() + " " + target.by() + "\n")
                .sorted()
                .forEach(line -> crc.update(line.getBytes(StandardCharsets.UTF_8)));
        return Long.toHexString(crc.getValue());
    }

    /** Every target that was accepted, oldest first. */
    public List<RolloutTarget> history() {
        return journal.targets();
    }

    private void handle(RolloutEvent event) {
        if (!stopped) {
            controller.on(timers.now(), event).forEach(this::execute);
        }
    }

    private void execute(RolloutAction action) {
        if (action instanceof RolloutAction.UseVersion use) {
            chosenVersion = use.version();
        } else if (action instanceof RolloutAction.LoadInstances prepare) {
            requestPrewarm(prepare.model(), prepare.version(), prepare.referenceVersion(), prepare.share());
        } else if (action instanceof RolloutAction.ReleaseInstances withdraw) {
            requestPrewarm(withdraw.model(), withdraw.version(), withdraw.version(), 0);
        } else if (action instanceof RolloutAction.PersistTarget keep) {
            acceptTarget(keep.target());
        } else if (action instanceof RolloutAction.PersistProgress note) {
            writeProgress(note.progress());
        } else if (action instanceof RolloutAction.RejectTarget refuse) {
            answer(refuse.target(), refuse.reason());
        } else if (action instanceof RolloutAction.ScheduleTick wake) {
            timers.after(wake.delay(), () -> handle(new RolloutEvent.Tick()));
        } else if (action instanceof RolloutAction.Log log) {
            LOG.info(log.text());
        }
    }

    private void requestPrewarm(String model, String version, String referenceVersion, double share) {
        RouterConfig.ModelSettings settings = config.modelSettings(model);
        if (settings != null) {
            policyEvents.accept(new Event.PrewarmRequested(
                    Route.function(model, version),
                    Route.function(model, referenceVersion),
                    share,
                    settings.concurrency(),
                    settings.memoryMb(),
                    settings.typicalLoadTime()));
        }
    }

    private void acceptTarget(RolloutTarget target) {
        if (batch != null) {
            batch.add(target);
        } else {
            writeTargets(List.of(target));
        }
    }

    /** Where they cannot be written, they are refused and everything stays as it was. */
    private void writeTargets(List<RolloutTarget> targets) {
        journal.write(targets, failure -> {
            if (failure == null) {
                for (RolloutTarget target : targets) {
                    handle(new RolloutEvent.TargetPersisted(target));
                    answer(target, "");
                }
            } else {
                LOG.atError().addKeyValue("cause", failure).log("rollout targets can't be written and are refused");
                String refusal = "the journal can't be written: " + failure
                        + "; nothing was changed, make room or mend the disk and order again";
                targets.forEach(target -> answer(target, refusal));
            }
        });
    }

    /** Where it cannot be written, the rollout goes on; only a restart would then resume at a lower step. */
    private void writeProgress(RolloutProgress progress) {
        journal.write(progress, failure -> {
            if (failure != null) {
                LOG.atWarn().addKeyValue("cause", failure).log("the progress of a rollout can't be written");
            }
        });
    }

    private void answer(RolloutTarget target, String refusal) {
        List<Consumer<String>> answers = pendingAnswers.remove(target);
        if (answers != null) {
            answers.forEach(answer -> answer.accept(refusal));
        }
    }
}
