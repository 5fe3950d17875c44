package pearladder.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.EndpointState;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.LoadQuota;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.RoutingSettings.Tenant;
import pearladder.routing.api.TimeSpan;

/** Tests the policy with seeded random sequences of events; the harness checks the rules at each action. */
class RoutingPolicyRandomizedTest {
    private static final int STEPS = 3000;
    private static final int WORKERS = 6;
    private static final int FUNCTIONS = 12;
    /** Steps at the end without new requests, in which all open requests end. */
    private static final int FINAL_STEPS = 500;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void rulesHoldForRandomEvents(long seed) {
        List<Action> firstRun = new RandomRun(seed).run();
        assertTrue(firstRun.stream().anyMatch(action -> action instanceof Action.SendAttempt));
        assertEquals(firstRun, new RandomRun(seed).run(), "a second run with the same seed gave other actions");
    }

    /** One random sequence of events. A change in the order of the random draws changes the sequence of a seed. */
    private static final class RandomRun {
        private final SplittableRandom random;
        private final PolicyHarness harness;
        private final double failureShare;
        private final List<Action.LoadInstances> openLoadRequests = new ArrayList<>();
        /** The number of the harness's actions that were searched for load requests. */
        private int searchedActions;

        RandomRun(long seed) {
            random = new SplittableRandom(seed);
            harness = PolicyHarness.withWorkers(randomSettings(), WORKERS);
            failureShare = random.nextDouble(0.6);
        }

        private RoutingSettings randomSettings() {
            boolean acceptsLoadRequests = random.nextBoolean();
            LoadQuota loadQuota =
                    random.nextBoolean() ? new LoadQuota(2, 0.1, TimeSpan.seconds(5)) : TestSettings.NO_LOAD_QUOTA;
            List<Tenant> tenants =
                    random.nextBoolean() ? List.of() : List.of(new Tenant("x", 0.7, 60), new Tenant("y", 0.3, 20));
            boolean hedging = random.nextBoolean();
            return TestSettings.settings(acceptsLoadRequests, hedging, loadQuota, tenants);
        }

        /** Runs the sequence and returns all actions of the policy. */
        List<Action> run() {
            for (int step = 0; step < STEPS; step++) {
                harness.advance(TimeSpan.millis(random.nextInt(1, 12)));
                endOverdueAttempts();
                if (random.nextInt(3) > 0) {
                    sendRequest();
                }
                endSomeAttempts();
                if (random.nextInt(60) == 0) {
                    changeEndpoint();
                }
                findLoadRequests();
                if (!openLoadRequests.isEmpty() && random.nextInt(10) == 0) {
                    completeLoad();
                }
                if (random.nextInt(40) == 0) {
                    sendStrayEvents();
                }
            }
            for (int step = 0; step < FINAL_STEPS; step++) {
                harness.advance(TimeSpan.millis(10));
                endOverdueAttempts();
            }
            harness.assertAllAnswered();
            return harness.actions;
        }

        private void sendRequest() {
            List<RequestClass> requestClasses = TestSettings.REQUEST_CLASSES;
            RequestClass requestClass = requestClasses.get(random.nextInt(requestClasses.size()));
            String tenant = harness.settings.tenants().isEmpty() ? null : random.nextBoolean() ? "x" : "y";
            int function = (int) (FUNCTIONS * Math.pow(random.nextDouble(), 2));
            int concurrency = 1 << function % 3;
            TimeSpan timeLeft = TimeSpan.millis(random.nextInt(200, 4000));
            harness.request("f" + function, requestClass, tenant, concurrency, timeLeft);
        }

        /** Ends attempts still in flight at the client's deadline as timed out, as a real worker client does. */
        private void endOverdueAttempts() {
            for (TrackedRequest request : List.copyOf(harness.requests.values())) {
                for (int attempt = 0; attempt < request.outcomes.size(); attempt++) {
                    if (request.outcomes.get(attempt) == null && !harness.now.isBefore(request.deadlineAt)) {
                        end(request, attempt, Outcome.TIMED_OUT, InstanceStatus.UNTOLD);
                    }
                }
                if (request.completed && request.attemptsInFlight() == 0) {
                    harness.requests.remove(request.id);
                }
            }
        }

        private void endSomeAttempts() {
            for (TrackedRequest request : List.copyOf(harness.requests.values())) {
                for (int attempt = 0; attempt < request.outcomes.size(); attempt++) {
                    if (request.outcomes.get(attempt) == null && random.nextInt(12) == 0) {
                        boolean failed = random.nextDouble() < failureShare;
                        Outcome outcome = failed ? Outcome.values()[random.nextInt(1, 9)] : Outcome.SUCCESS;
                        end(request, attempt, outcome, randomInstanceStatus(outcome));
                    }
                }
            }
        }

        private InstanceStatus randomInstanceStatus(Outcome outcome) {
            return switch (outcome) {
                case SUCCESS -> InstanceStatus.values()[random.nextInt(1, 4)];
                case ABSENT -> InstanceStatus.LOAD_FAILED;
                default -> InstanceStatus.UNTOLD;
            };
        }

        private void end(TrackedRequest request, int attempt, Outcome outcome, InstanceStatus instanceStatus) {
            TimeSpan elapsed = harness.now.since(request.sentAt.get(attempt));
            harness.endAttempt(request, attempt, outcome, instanceStatus, elapsed);
        }

        private void changeEndpoint() {
            String worker = "w" + random.nextInt(WORKERS);
            EndpointState state = EndpointState.values()[random.nextInt(3)];
            harness.setEndpointState(worker, state, random.nextBoolean() ? harness.now : null);
        }

        private void findLoadRequests() {
            for (; searchedActions < harness.actions.size(); searchedActions++) {
                if (harness.actions.get(searchedActions) instanceof Action.LoadInstances load) {
                    openLoadRequests.add(load);
                }
            }
        }

        private void completeLoad() {
            Action.LoadInstances load = openLoadRequests.remove(random.nextInt(openLoadRequests.size()));
            Outcome outcome = Outcome.values()[random.nextInt(6)];
            int instances = outcome == Outcome.SUCCESS ? load.instances() : 0;
            harness.on(
                    new Event.LoadCompleted(load.worker(), load.function(), outcome, instances, TimeSpan.millis(900)));
        }

        /** Sends late events and events about unknown workers, and disconnects the clients of some open requests. */
        private void sendStrayEvents() {
            harness.on(new Event.AttemptEnded(
                    "call0", 0, "w0", Outcome.SUCCESS, TimeSpan.millis(5), true, InstanceStatus.STOOD, 3, null));
            harness.on(new Event.ClientDisconnected("call1"));
            harness.on(new Event.LoadCompleted("w9", "f1", Outcome.SUCCESS, 1, TimeSpan.millis(5)));
            harness.on(new Event.HealthCheckCompleted("w9", Outcome.TIMED_OUT, TimeSpan.millis(250), null));
            for (TrackedRequest request : List.copyOf(harness.requests.values())) {
                if (!request.completed && random.nextInt(8) == 0) {
                    request.completed = true;
                    harness.on(new Event.ClientDisconnected(request.id));
                }
            }
        }
    }
}
