package pearladder.architecture;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.EvaluationResult;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Checks the imports between modules that {@link Layer} allows, and that decisions do no I/O and read no clock. */
class ArchitectureTest {
    private static final String ROOT = "pearladder";

    /** Violations still to be fixed: remove entries, never add any. */
    private static final List<KnownViolation> KNOWN_VIOLATIONS = List.of(
            new KnownViolation(
                    Layer.SETTINGS,
                    Layer.DECISIONS,
                    "the readers make the policy's own values; the import is not in Layer"),
            new KnownViolation(
                    Layer.EVENTLOG,
                    Layer.DECISIONS,
                    "metering from a log applies the rule for memory-seconds; the import is not in Layer"),
            new KnownViolation(
                    Layer.EMULATOR,
                    Layer.KSERVE,
                    "models and endpoints are described by KServe's values, outside the net package"),
            new KnownViolation(
                    Layer.EMULATOR, Layer.CONFIG, "the fleet's plan is read from YAML; the import is not in Layer"),
            new KnownViolation(
                    Layer.TESTBED,
                    Layer.DECISIONS,
                    "measures a decision's cost and scripts rollouts; the import is not in Layer"),
            new KnownViolation(
                    Layer.TESTBED,
                    Layer.CONFIG,
                    "scenarios and experiments are read from YAML; the import is not in Layer"),
            new KnownViolation(
                    Layer.SIMULATION,
                    Layer.TESTBED,
                    "scenarios, load and the invariant checker come from the testbed; the import is not in Layer"),
            new KnownViolation(
                    Layer.SIMULATION,
                    Layer.KSERVE_ROUTER,
                    "simulated routers run the KServe router's configuration, endpoint list and rollouts"),
            new KnownViolation(Layer.SIMULATION, Layer.KSERVE, "simulated endpoints use KServe's values"),
            new KnownViolation(
                    Layer.SIMULATION,
                    Layer.DECISIONS,
                    "reports the policy's events itself; the import is not in Layer"),
            new KnownViolation(
                    Layer.SIMULATION,
                    Layer.CONFIG,
                    "hands scenarios and router settings to their readers as YAML; the import is not in Layer"));

    private static final ArchRule ALLOWED_IMPORTS = classes().should(importOnlyAllowedModules());

    /** java.nio.charset is allowed: it turns text into bytes and does no I/O. */
    private static final ArchRule DECISIONS_DO_NO_IO = noClasses()
            .that(belongTo(Layer.DECISIONS))
            .should()
            .dependOnClassesThat(describe("do I/O, run threads or write logs", ArchitectureTest::isIoThreadOrLogging));

    private static final ArchRule DECISIONS_READ_NO_CLOCK = noClasses()
            .that(belongTo(Layer.DECISIONS))
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(Instant.class, "now")
            .orShould()
            .dependOnClassesThat(describe("are clocks", type -> type.getName().startsWith("java.time.Clock")));

    private static JavaClasses program;

    @BeforeAll
    static void importProgram() {
        program = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages(ROOT);
    }

    @Test
    void modulesImportOnlyAllowedModules() {
        ALLOWED_IMPORTS.check(program);
    }

    @Test
    void decisionsDoNoIo() {
        DECISIONS_DO_NO_IO.check(program);
    }

    @Test
    void decisionsReadNoClock() {
        DECISIONS_READ_NO_CLOCK.check(program);
    }

    @Test
    void modulesHaveNoCycles() {
        SlicesRuleDefinition.slices()
                .assignedFrom(modules())
                .should()
                .beFreeOfCycles()
                .check(program);
    }

    @Test
    void everyClassBelongsToAModule() {
        List<String> classesWithoutModule = program.stream()
                .filter(type -> Layer.of(type).isEmpty())
                .map(JavaClass::getName)
                .toList();
        assertEquals(List.of(), classesWithoutModule);
    }

    @Test
    void everyModuleHasClasses() {
        Set<Layer> found =
                program.stream().flatMap(type -> Layer.of(type).stream()).collect(Collectors.toSet());
        assertEquals(Set.of(Layer.values()), found);
    }

    @Test
    void everyKnownViolationIsStillThere() {
        List<KnownViolation> fixedViolations = KNOWN_VIOLATIONS.stream()
                .filter(known -> program.stream()
                        .flatMap(type -> type.getDirectDependenciesFromSelf().stream())
                        .noneMatch(dependency -> isKnown(known, dependency)))
                .toList();
        assertEquals(List.of(), fixedViolations, "remove these lines from KNOWN_VIOLATIONS");
    }

    @Test
    void forbiddenImportIsReported() {
        assertReports(ALLOWED_IMPORTS, "ImportsCommandLine");
    }

    @Test
    void ioInADecisionIsReported() {
        assertReports(DECISIONS_DO_NO_IO, "OpensFile");
    }

    @Test
    void aClockInADecisionIsReported() {
        assertReports(DECISIONS_READ_NO_CLOCK, "ReadsClock");
    }

    /** Asserts that the rule reports only the named one of the test classes that violate the architecture. */
    private static void assertReports(ArchRule rule, String misplaced) {
        JavaClasses fixtures = new ClassFileImporter().importPackages("pearladder.routing.violation");
        EvaluationResult result = rule.evaluate(fixtures);
        List<String> details = result.getFailureReport().getDetails();
        assertTrue(result.hasViolation(), "nothing reported");
        assertTrue(details.stream().allMatch(line -> line.contains(misplaced)), details::toString);
    }

    private static DescribedPredicate<JavaClass> belongTo(Layer layer) {
        return describe("belong to " + layer, layer::contains);
    }

    private static boolean isIoThreadOrLogging(JavaClass type) {
        String name = type.getName();
        boolean io = name.startsWith("java.io.") || name.startsWith("java.net.") || name.startsWith("java.nio.");
        boolean threads = name.startsWith("java.util.concurrent.") || type.isEquivalentTo(Thread.class);
        return (io && !name.startsWith("java.nio.charset.")) || threads || name.startsWith("org.slf4j.");
    }

    private static ArchCondition<JavaClass> importOnlyAllowedModules() {
        return new ArchCondition<>("import only the modules that Layer allows") {
            @Override
            public void check(JavaClass type, ConditionEvents events) {
                for (Dependency dependency : type.getDirectDependenciesFromSelf()) {
                    if (!isAllowed(dependency)) {
                        events.add(SimpleConditionEvent.violated(dependency, dependency.getDescription()));
                    }
                }
            }
        };
    }

    private static boolean isAllowed(Dependency dependency) {
        Optional<Layer> from = Layer.of(dependency.getOriginClass());
        Optional<Layer> to = Layer.of(dependency.getTargetClass());
        if (from.isEmpty() || to.isEmpty() || from.equals(to)) {
            return true;
        }
        return from.get().mayImport().contains(to.get())
                || KNOWN_VIOLATIONS.stream().anyMatch(known -> isKnown(known, dependency));
    }

    private static boolean isKnown(KnownViolation known, Dependency dependency) {
        return known.from().contains(dependency.getOriginClass()) && known.to().contains(dependency.getTargetClass());
    }

    private static SliceAssignment modules() {
        return new SliceAssignment() {
            @Override
            public SliceIdentifier getIdentifierOf(JavaClass type) {
                return Layer.of(type)
                        .map(layer -> SliceIdentifier.of(layer.name()))
                        .orElseGet(SliceIdentifier::ignore);
            }

            @Override
            public String getDescription() {
                return "modules";
            }
        };
    }
}
