package dev.cardamomlane.bench.fault

/** A fault that a [FaultInjector] can bring about. */
internal sealed interface Fault {
    /** A fault of one target, which is found when the fault begins. */
    sealed interface OfTarget : Fault {
        val target: TargetChoice
    }

    data class Cut(override val target: TargetChoice, val callers: Boolean, val peers: Boolean) : OfTarget

    data class Lag(override val target: TargetChoice, val lagMillis: Long) : OfTarget

    data class Silence(override val target: TargetChoice) : OfTarget

    data class LoseAnswers(override val target: TargetChoice, val count: Int) : OfTarget

    data class Slow(override val target: TargetChoice, val delayMillis: Long) : OfTarget

    data class Crash(override val target: TargetChoice) : OfTarget

    data class Leaving(override val target: TargetChoice) : OfTarget

    data class PlatformOutage(val outageMillis: Long) : Fault

    data class PlatformSlow(val delayMillis: Long) : Fault

    data class PlatformLoseAnswers(val count: Int) : Fault

    data class DaemonPause(val daemonIndex: Int) : Fault

    data class DaemonKill(val daemonIndex: Int) : Fault
}
