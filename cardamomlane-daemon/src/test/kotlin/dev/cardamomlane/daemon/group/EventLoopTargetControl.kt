package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.TargetId
import reactor.core.scheduler.Scheduler

/** Subscribes to [control] on its event loop, so that a test can block its own thread for the result. */
internal class EventLoopTargetControl(private val control: TargetControl, private val scheduler: Scheduler) :
    TargetControl {
    override val target: TargetId get() = control.target

    override fun status(newConnection: Boolean) = control.status(newConnection).subscribeOn(scheduler)

    override fun fence(term: Long, claimant: String) = control.fence(term, claimant).subscribeOn(scheduler)

    override fun promote(term: Long, claimant: String) = control.promote(term, claimant).subscribeOn(scheduler)

    override fun follow(term: Long, primary: TargetId) = control.follow(term, primary).subscribeOn(scheduler)

    override fun close() = control.close()
}
