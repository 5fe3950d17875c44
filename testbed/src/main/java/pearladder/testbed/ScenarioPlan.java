package pearladder.testbed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import pearladder.config.ConfigValue;
import pearladder.config.YamlParser;
import pearladder.emulator.FleetPlan;

/**
 * The parsed script of a scenario; all durations in nanoseconds.
 *
 * @param duration length of the scenario
 * @param slack tolerance for late responses and attempts in the invariant checks, for socket delays and machine pauses
 * @param zones the zones, in the order of the routers: router i is in zone i modulo the number of zones
 * @param routers number of routers
 * @param rate mean requests per second
 * @param flows flows of requests; at least one
 * @param faults the faults, ordered by start time
 * @param rolloutOrders orders on rollouts
 * @param invariantSettings the parts of the routers' configuration that the invariant checks use
 * @param fleet the emulated workers
 * @param network used by simulations only
 * @param expected requirements checked at the end
 * @param rateVariation how the rate varies
 */
public record ScenarioPlan(
        String name,
        long duration,
        long seed,
        long slack,
        List<String> zones,
        int routers,
        double rate,
        Clients clients,
        List<Flow> flows,
        List<Fault> faults,
        List<RolloutScript.Order> rolloutOrders,
        InvariantSettings invariantSettings,
        FleetPlan fleet,
        Network network,
        Expected expected,
        RateVariation rateVariation) {
    /**
     * Client behaviour.
     *
     * @param maxAttempts maximum number of attempts per request
     * @param retryPause delay before a retry if the response had no Retry-After
     * @param minAttemptTimeoutShare minimum share of the deadline for an attempt; each draws one from there to 1
     * @param loadBalancerLag how long the load balancer keeps sending to a dead router
     * @param cancelShare share of attempts that the client cancels early, at a random time
     * @param lanes number of sending event loops; one sustains about 1000 requests per second
     */
    public record Clients(
            int maxAttempts,
            long retryPause,
            double minAttemptTimeoutShare,
            long loadBalancerLag,
            double cancelShare,
            int lanes) {
        /** Returns the attempt timeout as a share of the deadline, for a uniform random number from 0 to 1. */
        double attemptTimeoutShare(double uniform) {
            return minAttemptTimeoutShare + (1 - minAttemptTimeoutShare) * uniform;
        }
    }

    /**
     * One flow of requests.
     *
     * @param requestClass the request class
     * @param tenant the tenant; empty for none
     * @param share weight of this flow relative to the other flows
     * @param modelPrefix prefix of the model names, which end with a number starting at 0
     * @param modelCount number of models
     * @param skew exponent of Zipf's law for the models' popularity, 0 for uniform popularity
     * @param shiftInterval interval at which the popularity shifts by one model; 0 for never
     * @param meanWork mean work of a request on a standard core
     */
    public record Flow(
            String requestClass,
            String tenant,
            double share,
            String modelPrefix,
            int modelCount,
            double skew,
            long shiftInterval,
            long meanWork) {
        /**
         * Chooses a flow in proportion to the shares of the flows.
         *
         * @param uniform random number from 0 (inclusive) to 1 (exclusive)
         * @return the index of the chosen flow
         */
        static int choose(List<Flow> flows, double uniform) {
            double sum = flows.stream().mapToDouble(Flow::share).sum();
            double remaining = uniform * sum;
            for (int i = 0; i < flows.size(); i++) {
                remaining -= flows.get(i).share();
                if (remaining < 0) {
                    return i;
                }
            }
            return flows.size() - 1;
        }
    }

    /** Kinds of faults, with their names in scripts; docs/days.md describes each. */
    public enum FaultKind {
        BURST("burst"),
        ONE_OFFS("one-offs"),
        HEAVY("heavy"),
        ROLLING_DEPLOY("rolling-deploy"),
        RELEASE("release"),
        HALL_LOST("hall-lost"),
        ROUTERS_KILLED("routers-killed"),
        ENGINES_KILLED("engines-killed"),
        FAILING("failing"),
        SLOW("slow"),
        AGEING("ageing"),
        HANG("hang"),
        GARBLE("garble"),
        MASS_RESTART("mass-restart"),
        LATE_REPORTS("late-reports"),
        SLOW_SHELF("slow-shelf"),
        REFUSING_SHELF("refusing-shelf"),
        SLOW_HANDSHAKES("slow-handshakes"),
        CUT("cut"),
        RESET("reset"),
        LIST_SILENT("list-silent"),
        LIST_CUT("list-cut"),
        LIST_LAG("list-lag"),
        LOST_LOADS("lost-loads"),
        LEAK("leak"),
        DAMAGED_IMAGES("damaged-images"),
        SPLIT_LIST("split-list"),
        HEEDLESS("heedless"),
        WRONG_MODEL("wrong-model"),
        ENGINES_PAUSED("engines-paused"),
        ONE_WAY_CUT("one-way-cut"),
        ROUTERS_PAUSED("routers-paused"),
        CLOCK_JUMP("clock-jump");

        private final String code;

        FaultKind(String code) {
            this.code = code;
        }

        /** Returns the name used in scripts and reports. */
        public String code() {
            return code;
        }

        /** Returns whether only a simulation can inject the fault: it has no implementation for real processes. */
        public boolean isSimulatedOnly() {
            return compareTo(ENGINES_PAUSED) >= 0;
        }
    }

    /**
     * What a simulation assumes of the network and the processes.
     *
     * @param delay one-way message delay
     * @param routerStart time from a router's start until it is ready
     */
    public record Network(long delay, long routerStart) {}

    /**
     * A rate that varies as a sine wave.
     *
     * @param period duration of one cycle, 0 for a constant rate
     * @param amplitude amplitude as a share of the mean rate, 0 to 1
     */
    public record RateVariation(long period, double amplitude) {
        /** Returns the rate as a multiple of the mean, at a time in nanoseconds after the start. */
        double at(long nanosSinceStart) {
            return period == 0 ? 1 : 1 + amplitude * Math.sin(2 * Math.PI * nanosSinceStart / period);
        }
    }

    /**
     * Requirements checked at the end of the scenario; NaN means no requirement.
     *
     * @param leastCredit minimum share of the priority weight that must be earned
     * @param leastWindowCredit minimum such share in any ten seconds
     */
    public record Expected(double leastCredit, double leastWindowCredit) {
        /** Returns a line for each requirement that was missed. */
        public List<String> missedRequirements(LoadStatistics statistics) {
            List<String> missed = new ArrayList<>();
            if (statistics.credit() < leastCredit) {
                missed.add(String.format(
                        Locale.ROOT,
                        "expected a credit of %.3f at the least, it was %.3f",
                        leastCredit,
                        statistics.credit()));
            }
            if (statistics.leastWindowCredit() < leastWindowCredit) {
                missed.add(String.format(
                        Locale.ROOT,
                        "expected %.3f in each ten seconds, the worst was %.3f",
                        leastWindowCredit,
                        statistics.leastWindowCredit()));
            }
            return missed;
        }
    }

    /**
     * One fault.
     *
     * @param startAt start time, relative to the start of the scenario
     * @param share share of the workers (or routers, models, requests) affected
     * @param factor multiplier of the slowdown, the work or the rate
     * @param probability probability that a request at an affected worker is affected
     * @param zone zone to which the fault is limited; empty for all
     */
    public record Fault(
            long startAt,
            long duration,
            FaultKind kind,
            double share,
            double factor,
            double probability,
            String zone) {}

    /** Parses a script; throws {@link pearladder.config.ConfigErrors.ConfigException} with every error in it. */
    public static ScenarioPlan read(Path file) {
        return read(YamlParser.parse(file));
    }

    /** Creates a plan from parsed YAML; throws as {@link #read(Path)} does. */
    public static ScenarioPlan read(ConfigValue file) {
        return new ScenarioPlanParser(file).parse();
    }

    /** Returns the location of each worker as "zone/cell", by worker ID. */
    public Map<String, String> workerLocations() {
        Map<String, String> locations = new LinkedHashMap<>();
        fleet.workers().forEach(worker -> locations.put(worker.id(), worker.zone() + "/" + worker.cell()));
        return locations;
    }
}
