package pearladder.architecture;

import com.tngtech.archunit.core.domain.JavaClass;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The modules, their packages and the modules that each may import. Package names are defined only here. */
enum Layer {
    DECISIONS(
            "pearladder.routing",
            "pearladder.connections",
            "pearladder.delivery",
            "pearladder.rollout",
            "pearladder.recovery",
            "pearladder.writebuffer",
            "pearladder.background",
            "pearladder.metering",
            "pearladder.baseline"),
    KSERVE("pearladder.kserve"),
    CONFIG("pearladder.config"),
    EVENTLOG("pearladder.eventlog"),
    SETTINGS("pearladder.settings"),
    EMULATOR("pearladder.emulator"),
    EMULATOR_NET("pearladder.emulator.net"),
    ROUTER_CORE("pearladder.router.core"),
    SIMULATOR_ADAPTER("pearladder.simulator"),
    SIMULATION("pearladder.simulation"),
    TESTBED("pearladder.testbed", "pearladder.traces"),
    KSERVE_ROUTER("pearladder.router.kserve"),
    PLATFORM("pearladder.platform"),
    CLI("pearladder.cli");

    private final List<String> packages;

    Layer(String... packages) {
        this.packages = List.of(packages);
    }

    /** Returns the other modules that this module may import. */
    Set<Layer> mayImport() {
        return switch (this) {
            case DECISIONS, KSERVE, CONFIG, EVENTLOG, SETTINGS, EMULATOR -> Set.of();
            case EMULATOR_NET -> Set.of(EMULATOR, KSERVE);
            case ROUTER_CORE -> Set.of(DECISIONS);
            case SIMULATOR_ADAPTER -> Set.of(SETTINGS, DECISIONS);
            case SIMULATION -> Set.of(ROUTER_CORE, EMULATOR);
            case TESTBED -> Set.of(EMULATOR, EMULATOR_NET, KSERVE);
            case KSERVE_ROUTER -> Set.of(ROUTER_CORE, KSERVE, EVENTLOG, CONFIG, DECISIONS);
            case PLATFORM -> Set.of(ROUTER_CORE, SETTINGS, DECISIONS);
            case CLI -> EnumSet.allOf(Layer.class);
        };
    }

    boolean contains(JavaClass type) {
        return of(type).filter(layer -> layer == this).isPresent();
    }

    /** Returns the module with the longest package prefix of the class; empty if no module contains it. */
    static Optional<Layer> of(JavaClass type) {
        return Arrays.stream(values())
                .filter(layer -> layer.prefixLength(type) > 0)
                .max(Comparator.comparingInt(layer -> layer.prefixLength(type)));
    }

    private int prefixLength(JavaClass type) {
        return packages.stream()
                .filter(name -> isWithin(type, name))
                .mapToInt(String::length)
                .max()
                .orElse(0);
    }

    private static boolean isWithin(JavaClass type, String packageName) {
        return type.getPackageName().equals(packageName)
                || type.getPackageName().startsWith(packageName + ".");
    }
}
