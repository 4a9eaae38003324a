package io.laburnummoor.router.process;

/** One command of the command line. */
interface Command {
    /** Runs the command with its parsed parameters. */
    void run();
}
