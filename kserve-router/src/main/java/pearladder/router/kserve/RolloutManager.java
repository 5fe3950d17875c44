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
     * The durable journal of rollouts. Each write is reported once, and writes are reported in the order in which
     * they were begun.
     */
    public interface Journal {
        /** Returns every accepted target, oldest first. */
        List<RolloutTarget> targets();

        /** Returns the progress that this router had made when the journal was opened. */
        List<RolloutProgress> progress();

        /**
         * Writes targets, all or none.
         *
         * @param onWritten called with null once they are durable, or with the reason why they were not written
         */
        void write(List<RolloutTarget> targets, Consumer<String> onWritten);

        /**
         * Writes progress.
         *
         * @param onWritten called with null once it is durable, or with the reason why it was not written
         */
        void write(RolloutProgress progress, Consumer<String> onWritten);
    }

    /**
     * The properties of a request that determine which version it gets.
     *
     * @param requestId the request's id
     * @param model the model that the request names
     * @param version the version that the request names, or null where the router chooses
     * @param groupKey requests with the same key get the same version; null for none
     * @param tenant the request's tenant, or null
     * @param idempotencyKey the request's idempotency key, or null
     */
    public record VersionRequest(
            String requestId, String model, String version, String groupKey, String tenant, String idempotencyKey) {
        /**
         * Returns the group of the request: requests of one tenant with the same key form a group, and a request
         * without a key forms its own.
         */
        private String group() {
            return groupKey == null ? requestId : (tenant == null ? "" : tenant) + "\n" + groupKey;
        }
    }

    /**
     * The version that a request gets.
     *
     * @param version empty for the model without a version
     * @param function the function of model and version
     * @param completionListener notified when the request ends
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
    private final Map<RolloutTarget, List<Consumer<String>>> pendingResults = new HashMap<>();
    /** The version that the controller chose last. */
    private String chosenVersion;

    private long requestCount;
    /** Accepted targets of the current {@link #setTargets} call, which are written together; null outside one. */
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

    /** Resumes the rollouts of the journal; called before the router is ready. */
    public void start() {
        handle(new RolloutEvent.JournalRestored(journal.targets(), journal.progress()));
    }

    /** Stops the rollouts: later events are ignored. */
    public void stop() {
        stopped = true;
    }

    /** Handles the newest target of a model that a peer has reported. */
    public void onPeerTarget(RolloutTarget target) {
        if (config.modelSettings(target.plan().model()) != null) {
            handle(new RolloutEvent.TargetReceived(target));
        }
    }

    /** Chooses the version that a request gets. */
    public ChosenVersion choose(VersionRequest versionRequest) {
        if (versionRequest.version() != null) {
            return new ChosenVersion(
                    versionRequest.version(),
                    Route.function(versionRequest.model(), versionRequest.version()),
                    CompletionListener.NONE);
        }
        String requestId = Long.toString(++requestCount);
        String idempotencyKey = versionRequest.idempotencyKey() == null ? "" : versionRequest.idempotencyKey();
        chosenVersion = "";
        handle(new RolloutEvent.RequestReceived(
                requestId, versionRequest.model(), versionRequest.group(), idempotencyKey));
        String function = Route.function(versionRequest.model(), chosenVersion);
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

    /**
     * Handles the progress of prewarming a function. A function without a version is ignored, since it is not part of
     * a rollout.
     */
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
     * @param onResults called once with a text for each target, in their order: empty where the target is durable and
     *     in effect, or the reason why it was refused
     */
    public void setTargets(List<RolloutTarget> targets, Consumer<List<String>> onResults) {
        ResultCollector collector = new ResultCollector(targets.size(), onResults);
        batch = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            setTarget(targets.get(i), collector.forTarget(i));
        }
        List<RolloutTarget> accepted = batch;
        batch = null;
        if (!accepted.isEmpty()) {
            writeTargets(accepted);
        }
    }

    private void setTarget(RolloutTarget target, Consumer<String> onResult) {
        String model = target.plan().model();
        if (config.modelSettings(model) == null) {
            onResult.accept("plan.model: unknown model " + model + "; name one that this router's file knows");
            return;
        }
        pendingResults.computeIfAbsent(target, same -> new ArrayList<>()).add(onResult);
        handle(new RolloutEvent.TargetOrdered(target));
    }

    /** Collects the results of several targets, and passes them on when all are known. */
    private static final class ResultCollector {
        private final String[] results;
        private final Consumer<List<String>> whenComplete;
        private int missingCount;

        ResultCollector(int count, Consumer<List<String>> whenComplete) {
            this.results = new String[count];
            this.missingCount = count;
            this.whenComplete = whenComplete;
        }

        Consumer<String> forTarget(int index) {
            return result -> {
                results[index] = result;
                if (--missingCount == 0) {
                    whenComplete.accept(List.of(results));
                }
            };
        }
    }

    /** Returns a line about each rollout, for operators. */
    public List<String> status() {
        return controller.status();
    }

    /** Returns the newest target of each model. */
    public List<RolloutTarget> targets() {
        return controller.targets();
    }

    /** Returns a checksum of the newest targets; two routers with equal checksums have the same targets. */
    public String checksum() {
        CRC32 crc = new CRC32();
        controller.targets().stream()
                .map(target -> target.plan().model() + " " + target.epoch() + " " + target.by() + "\n")
                .sorted()
                .forEach(line -> crc.update(line.getBytes(StandardCharsets.UTF_8)));
        return Long.toHexString(crc.getValue());
    }

    /** Returns every accepted target, oldest first. */
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
        } else if (action instanceof RolloutAction.LoadInstances load) {
            requestPrewarm(load.model(), load.version(), load.referenceVersion(), load.share());
        } else if (action instanceof RolloutAction.ReleaseInstances release) {
            requestPrewarm(release.model(), release.version(), release.version(), 0);
        } else if (action instanceof RolloutAction.PersistTarget persistTarget) {
            acceptTarget(persistTarget.target());
        } else if (action instanceof RolloutAction.PersistProgress persistProgress) {
            writeProgress(persistProgress.progress());
        } else if (action instanceof RolloutAction.RejectTarget reject) {
            complete(reject.target(), reject.reason());
        } else if (action instanceof RolloutAction.ScheduleTick tick) {
            timers.after(tick.delay(), () -> handle(new RolloutEvent.Tick()));
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

    /** Writes targets to the journal; if that fails, the targets are refused and nothing changes. */
    private void writeTargets(List<RolloutTarget> targets) {
        journal.write(targets, failure -> {
            if (failure == null) {
                for (RolloutTarget target : targets) {
                    handle(new RolloutEvent.TargetPersisted(target));
                    complete(target, "");
                }
            } else {
                LOG.atError().addKeyValue("cause", failure).log("rollout targets can't be written and are refused");
                String refusal = "the journal can't be written: " + failure
                        + "; nothing was changed, make room or mend the disk and order again";
                targets.forEach(target -> complete(target, refusal));
            }
        });
    }

    /** Writes progress to the journal; if that fails, the rollout continues, but a restart resumes at a lower step. */
    private void writeProgress(RolloutProgress progress) {
        journal.write(progress, failure -> {
            if (failure != null) {
                LOG.atWarn().addKeyValue("cause", failure).log("the progress of a rollout can't be written");
            }
        });
    }

    private void complete(RolloutTarget target, String result) {
        List<Consumer<String>> callbacks = pendingResults.remove(target);
        if (callbacks != null) {
            callbacks.forEach(callback -> callback.accept(result));
        }
    }
}
