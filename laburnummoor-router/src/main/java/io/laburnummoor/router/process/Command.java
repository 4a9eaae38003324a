package io.laburnummoor.router.process;

/** A subcommand of the command line. */
interface Command {
    /** Runs the command; its parameters have been parsed. */
    void run();
}
