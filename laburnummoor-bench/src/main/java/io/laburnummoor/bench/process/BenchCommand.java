package io.laburnummoor.bench.process;

/** One command of the bench. */
interface BenchCommand {
    /** Runs the command and returns the exit status of the process. */
    int run() throws Exception;
}
