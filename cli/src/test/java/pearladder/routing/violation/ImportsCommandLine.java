package pearladder.routing.violation;

import pearladder.cli.Main;

/** Violates the allowed imports: a decision that imports the command line. */
final class ImportsCommandLine {
    private ImportsCommandLine() {}

    static Class<?> commandLine() {
        return Main.class;
    }
}
