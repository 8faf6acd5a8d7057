package dev.cardamomlane.standin.lane.load

import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.record.SentStatement
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** What the callers of a load sent and were answered. Safe for use by several threads. */
internal class LoadHistory {
    private val sent = ConcurrentHashMap<String, SentStatement>()
    private val millisByOutcome = ConcurrentHashMap<Outcome, ConcurrentLinkedQueue<Long>>()
    private val refusals = ConcurrentHashMap<String, AtomicInteger>()
    private val admitted = ConcurrentLinkedQueue<String>()
    private val surplus = ConcurrentLinkedQueue<String>()

    /** Must be called before [statement] is sent. */
    fun add(statement: SentStatement) {
        sent[statement.statementId] = statement
    }

    fun onAnswer(answer: CallerAnswer) {
        sent.computeIfPresent(answer.statementId) { _, statement -> statement.copy(answer = answer) }
    }

    fun onOperation(outcome: Outcome, tookMillis: Long) {
        millisByOutcome.computeIfAbsent(outcome) { ConcurrentLinkedQueue() } += tookMillis
    }

    /** A session could not be used: [reason] says why. */
    fun onRefused(reason: String) {
        refusals.computeIfAbsent(reason) { AtomicInteger() }.incrementAndGet()
    }

    /** A session was opened with [key], which no customer has. */
    fun onAdmitted(key: String) {
        admitted += key
    }

    /** A caller got [message] while nothing was outstanding. */
    fun onUnaskedMessage(message: String) {
        surplus += message
    }

    fun statements(): Collection<SentStatement> = sent.values.toList()

    /** Returns how long each operation with [outcome] took. */
    fun millis(outcome: Outcome): List<Long> = millisByOutcome[outcome].orEmpty().toList()

    fun refusedSessions(): Map<String, Int> = refusals.mapValues { it.value.get() }

    /** Returns the keys that no customer has but that opened a session. */
    fun admittedKeys(): List<String> = admitted.toList()

    fun unaskedMessages(): List<String> = surplus.toList()
}
