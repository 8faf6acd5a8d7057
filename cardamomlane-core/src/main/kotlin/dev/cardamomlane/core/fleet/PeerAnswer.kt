package dev.cardamomlane.core.fleet

/**
 * What a member answers to a [PeerQuestion].
 *
 * @property head the revisions that the answerer knows of
 * @property record the answerer's record when it is newer than the asker's, else null
 * @property ages for each member of the answerer's record, how long ago it was last known to be within the answerer's
 *   level, in units of [AGE_UNIT_MILLIS], or [NO_AGE]
 * @property confirmations one bit for each member of the answerer's record that has reached the answerer's level
 * @property platformAgeMillis how long ago the answerer's level was read from the platform, or null
 */
public class PeerAnswer(
    public val questionId: Long,
    public val level: KnowledgeLevel,
    public val head: RevisionHead,
    public val record: MemberRecord?,
    public val ages: ByteArray,
    public val confirmations: ByteArray,
    public val platformAgeMillis: Long?,
) {
    /** The encoding of ages. */
    public companion object {
        /** The unit of [ages]. */
        public const val AGE_UNIT_MILLIS: Long = 20

        /** The age of a member that was not heard. */
        public const val NO_AGE: Int = 255
    }
}
