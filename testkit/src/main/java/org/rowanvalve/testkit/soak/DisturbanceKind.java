package org.rowanvalve.testkit.soak;

/** What a soak run does to a network. */
public enum DisturbanceKind {
    /** SIGTERM to a process, which is started again after its end. */
    TERMINATE,
    /** SIGKILL to a process, which is started again. */
    KILL,
    /** SIGSTOP to a process, and SIGCONT later. */
    FREEZE,
    /** SIGHUP to a process whose options file has changed. */
    RELOAD,
    /** SIGHUP to a process whose options file has become invalid. */
    RELOAD_INVALID,
    /** One machine is cut off from all others. */
    ISOLATE,
    /** The network falls into two parts. */
    SPLIT,
    /** Files of a process with a disk cannot grow. */
    FILL_DISK,
    /** A process with a disk is killed and comes back with an empty one. */
    LOSE_DISK,
    /** All processes are killed at once and started again. */
    POWER_OFF,
    /** An origin ends without a word and comes back at the same address. */
    ORIGIN_CRASH,
    /** An origin says that it leaves, and comes back at another port. */
    ORIGIN_DRAIN,
    /** Operators change and delete routes, as many as {@link Disturbance#size()} says. */
    CHANGE,
    /** Two operators declare different bodies under the same version at two nodes. */
    RACE;

    /** Whether operators bring it about, by calls. */
    boolean isOfOperators() {
        return this == CHANGE || this == RACE;
    }

    /** Whether it happens to one machine of the network. */
    boolean isOfOneMachine() {
        return switch (this) {
            case TERMINATE, KILL, FREEZE, RELOAD, RELOAD_INVALID, ISOLATE, FILL_DISK, LOSE_DISK -> true;
            default -> false;
        };
    }

    /** Whether it happens to one origin. */
    boolean isOfOneOrigin() {
        return this == ORIGIN_CRASH || this == ORIGIN_DRAIN;
    }

    /** Whether only machines with a disk can have it. */
    boolean needsDisk() {
        return this == FILL_DISK || this == LOSE_DISK;
    }
}
