package dev.cardamomlane.core.codec

/** Runs code on a thread whose stack is as small as those of the program's threads. */
internal object SmallStack {
    private const val BYTES = 256L * 1024

    /** Runs [action] and throws what it throws. */
    fun run(action: () -> Unit) {
        var failure: Throwable? = null
        val thread = Thread(null, { failure = runCatching(action).exceptionOrNull() }, "small-stack", BYTES)
        thread.start()
        thread.join()
        failure?.let { throw it }
    }
}
