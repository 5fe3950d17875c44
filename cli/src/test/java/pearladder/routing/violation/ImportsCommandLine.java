package pearladder.routing.violation;

import pearladder.cli.Main;

/** Against the arrows: a decision that knows the command line. */
final class ImportsCommandLine {
    private ImportsCommandLine() {}

    static Class<?> commandLine() {
        return Main.class;
    }
}
