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
 * A scenario as its script describes it; all spans in nanoseconds.
 *
 * @param duration length of the scenario
 * @param slack how late a response or an attempt may be seen before it counts, for sockets and pauses of the machine
 * @param zones the zones, in the order of the routers: router i is in zone i modulo their number
 * @param routers how many there are
 * @param rate mean requests a second
 * @param flows what is requested; one at least
 * @param faults the faults, in the order of their starts
 * @param rolloutOrders orders on rollouts
 * @param invariantSettings what the invariant checks need of the routers' configuration
 * @param fleet the emulated workers
 * @param network used by simulations only
 * @param expected what must hold at the end
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
     * How clients behave.
     *
     * @param maxAttempts attempts of a request at the most
     * @param retryPause before a retry, where no Retry-After was given
     * @param leastPatience the least share of the deadline that an attempt is given; each draws one from there to 1
     * @param loadBalancerLag for how long the load balancer goes on sending to a dead router
     * @param cancelShare share of attempts whose client cancels early, at a random moment
     * @param lanes event loops that send; one bears about a thousand requests a second
     */
    public record Clients(
            int maxAttempts,
            long retryPause,
            double leastPatience,
            long loadBalancerLag,
            double cancelShare,
            int lanes) {
        /** The share of the deadline that an attempt is given, for a random number from 0 to 1. */
        double patience(double uniform) {
            return leastPatience + (1 - leastPatience) * uniform;
        }
    }

    /**
     * One flow of requests.
     *
     * @param requestClass the request class
     * @param tenant the tenant; empty for none
     * @param share of all requests, relative to the other flows
     * @param modelPrefix of the models' names, which end with a number from 0 on
     * @param modelCount how many there are
     * @param skew of the models' popularity: the exponent of Zipf's law, 0 for none
     * @param shiftInterval how often the popularity moves on by one model; 0 for never
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
         * Chooses among flows in proportion to their shares.
         *
         * @param uniform from 0 up to, not including, 1
         * @return an index
         */
        static int choose(List<Flow> flows, double uniform) {
            double sum = flows.stream().mapToDouble(Flow::share).sum();
            double left = uniform * sum;
            for (int i = 0; i < flows.size(); i++) {
                left -= flows.get(i).share();
                if (left < 0) {
                    return i;
                }
            }
            return flows.size() - 1;
        }
    }

    /** Kinds of faults, by the words of scripts; docs/days.md says what each does. */
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

        /** The word of scripts and reports. */
        public String code() {
            return code;
        }

        /** Whether only a simulation can inject it: there is no means for it with processes on one machine. */
        public boolean isSimulatedOnly() {
            return compareTo(ENGINES_PAUSED) >= 0;
        }
    }

    /**
     * What a simulation assumes of the network and the processes.
     *
     * @param delay of a message one way
     * @param routerStart from a router's start until it is ready
     */
    public record Network(long delay, long routerStart) {}

    /**
     * A rate that varies as a sine wave.
     *
     * @param period from one peak to the next, 0 for a constant rate
     * @param amplitude amplitude as a share of the mean, 0 to 1
     */
    public record RateVariation(long period, double amplitude) {
        /** The rate so many nanoseconds after the start, as a multiple of the mean. */
        double at(long nanos) {
            return period == 0 ? 1 : 1 + amplitude * Math.sin(2 * Math.PI * nanos / period);
        }
    }

    /**
     * What must hold at the end of the scenario; NaN where nothing is required.
     *
     * @param leastCredit the least share of the priority weight that must be earned
     * @param leastWindowCredit the least such share in any ten seconds
     */
    public record Expected(double leastCredit, double leastWindowCredit) {
        /** A line for each requirement that was missed. */
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
     * @param startAt start, from the start of the scenario
     * @param share of the workers (or routers, models, requests) that it affects
     * @param factor how many times slower, heavier or more
     * @param probability chance with which a request is affected there
     * @param zone the zone that it is limited to; empty for all
     */
    public record Fault(
            long startAt,
            long duration,
            FaultKind kind,
            double share,
            double factor,
            double probability,
            String zone) {}

    /** Reads a script; throws {@link pearladder.config.ConfigErrors.ConfigException} with every mistake in it. */
    public static ScenarioPlan read(Path file) {
        return read(YamlParser.parse(file));
    }

    /** Reads a script that was parsed already; throws as {@link #read(Path)} does. */
    public static ScenarioPlan read(ConfigValue file) {
        return new ScenarioPlanParser(file).parse();
    }

    /** Zone and cell of each worker by its id, written "zone/cell". */
    public Map<String, String> workerLocations() {
        Map<String, String> locations = new LinkedHashMap<>();
        fleet.workers().forEach(worker -> locations.put(worker.id(), worker.zone() + "/" + worker.cell()));
        return locations;
    }
}
