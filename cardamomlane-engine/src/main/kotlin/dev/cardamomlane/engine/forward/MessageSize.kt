package dev.cardamomlane.engine.forward

/**
 * Whether texts fit into one message between hosts. A longer message ends its connection and with it all operations on it,
 * so an operation that needs one is refused before.
 */
internal object MessageSize {
    private const val OTHER_FIELDS_BYTES = 64 shl 10
    private const val MAX_TEXT_BYTES = HostMessageCodec.MAX_BYTES - OTHER_FIELDS_BYTES

    /** The longest length field of a text in CBOR. */
    private const val LENGTH_BYTES = 5L

    /** The most bytes that a character takes in UTF-8. */
    private const val MAX_CHARACTER_BYTES = 3

    /** Returns whether [request] fits. */
    fun fits(request: OperationRequest): Boolean {
        val values = request.values.orEmpty()
        val start = listOfNotNull(request.start?.database, request.start?.key)
        return fits(listOf(request.text, request.shape.orEmpty(), request.id) + start + values.keys + values.values)
    }

    /** Returns whether [rows] fit into one answer. */
    fun fits(rows: Collection<String>): Boolean {
        val mostBytes = rows.sumOf { LENGTH_BYTES + it.length * MAX_CHARACTER_BYTES }
        return mostBytes <= MAX_TEXT_BYTES ||
            rows.sumOf { LENGTH_BYTES + it.encodeToByteArray().size } <= MAX_TEXT_BYTES
    }
}
