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
 * @param lasting length of the scenario
 * @param slack how late a response or an attempt may be seen before it counts, for sockets and pauses of the machine
 * @param halls the zones, in the order of the routers: router i is in zone i modulo their number
 * @param routers how many there are
 * @param rate mean requests a second
 * @param flows what is requested; one at least
 * @param troubles the faults, in the order of their starts
 * @param releases orders on rollouts
 * @param rules what the invariant checks need of the routers' configuration
 * @param fleet the emulated workers
 * @param network used by simulations only
 * @param expected what must hold at the end
 * @param tide how the rate varies
 */
public record ScenarioPlan(
        String name,
        long lasting,
        long seed,
        long slack,
        List<String> halls,
        int routers,
        double rate,
        Clients clients,
        List<Flow> flows,
        List<Trouble> troubles,
        List<ReleaseScript.Order> releases,
        InvariantSettings rules,
        FleetPlan fleet,
        Network network,
        Expected expected,
        Tide tide) {
    /**
     * How clients behave.
     *
     * @param tries attempts of a request at the most
     * @param pause before a retry, where no Retry-After was given
     * @param patience the least share of the deadline that an attempt is given; each draws one from there to 1
     * @param frontLag for how long the load balancer goes on sending to a dead router
     * @param leaving share of attempts whose client cancels early, at a random moment
     * @param lanes event loops that send; one bears about a thousand requests a second
     */
    public record Clients(int tries, long pause, double patience, long frontLag, double leaving, int lanes) {}

    /**
     * One flow of requests.
     *
     * @param category the request class
     * @param account the tenant; empty for none
     * @param share of all requests, relative to the other flows
     * @param prefix of the models' names, which end with a number from 0 on
     * @param models how many there are
     * @param skew of the models' popularity: the exponent of Zipf's law, 0 for none
     * @param shift how often the popularity moves on by one model; 0 for never
     * @param work mean work of a request on a standard core
     */
    public record Flow(
            String category,
            String account,
            double share,
            String prefix,
            int models,
            double skew,
            long shift,
            long work) {}

    /** Kinds of faults, by the words of scripts; docs/days.md says what each does. */
    public enum Kind {
        BURST,
        ONE_OFFS,
        HEAVY,
        ROLLING_DEPLOY,
        RELEASE,
        HALL_LOST,
        ROUTERS_KILLED,
        ENGINES_KILLED,
        FAILING,
        SLOW,
        AGEING,
        HANG,
        GARBLE,
        MASS_RESTART,
        LATE_REPORTS,
        SLOW_SHELF,
        REFUSING_SHELF,
        SLOW_HANDSHAKES,
        CUT,
        RESET,
        LIST_SILENT,
        LIST_CUT,
        LIST_LAG,
        LOST_LOADS,
        LEAK,
        DAMAGED_IMAGES,
        SPLIT_LIST,
        HEEDLESS,
        WRONG_MODEL,
        ENGINES_PAUSED,
        ONE_WAY_CUT,
        ROUTERS_PAUSED,
        CLOCK_JUMP;

        /** Whether only a simulation can inject it: there is no means for it with processes on one machine. */
        public boolean rehearsedOnly() {
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
     * @param swing amplitude as a share of the mean, 0 to 1
     */
    public record Tide(long period, double swing) {
        /** The rate so many nanoseconds after the start, as a multiple of the mean. */
        double at(long nanos) {
            return period == 0 ? 1 : 1 + swing * Math.sin(2 * Math.PI * nanos / period);
        }
    }

    /**
     * What must hold at the end of the scenario; NaN where nothing is required.
     *
     * @param credit the least share of the priority weight that must be earned
     * @param worst the least such share in any ten seconds
     */
    public record Expected(double credit, double worst) {
        /** A line for each requirement that was missed. */
        public List<String> missed(LoadStatistics statistics) {
            List<String> missed = new ArrayList<>();
            if (statistics.credit() < credit) {
                missed.add(String.format(
                        Locale.ROOT,
                        "expected a credit of %.3f at the least, it was %.3f",
                        credit,
                        statistics.credit()));
            }
            if (statistics.worstWindow() < worst) {
                missed.add(String.format(
                        Locale.ROOT,
                        "expected %.3f in each ten seconds, the worst was %.3f",
                        worst,
                        statistics.worstWindow()));
            }
            return missed;
        }
    }

    /**
     * One fault.
     *
     * @param at start, from the start of the scenario
     * @param share of the workers (or routers, models, requests) that it affects
     * @param times how many times slower, heavier or more
     * @param part chance with which a request is affected there
     * @param hall the zone that it is limited to; empty for all
     */
    public record Trouble(long at, long lasting, Kind what, double share, double times, double part, String hall) {}

    /** Reads a script; throws {@link pearladder.config.ConfigErrors.Found} with every mistake in it. */
    public static ScenarioPlan read(Path file) {
        return read(YamlParser.read(file));
    }

    /** Reads a script that was parsed already; throws as {@link #read(Path)} does. */
    public static ScenarioPlan read(ConfigValue file) {
        return new ScenarioPlanParser(file).parse();
    }

    /** Zone and cell of each worker by its id, written "zone/cell". */
    public Map<String, String> places() {
        Map<String, String> places = new LinkedHashMap<>();
        fleet.engines().forEach(engine -> places.put(engine.id(), engine.hall() + "/" + engine.cell()));
        return places;
    }
}
