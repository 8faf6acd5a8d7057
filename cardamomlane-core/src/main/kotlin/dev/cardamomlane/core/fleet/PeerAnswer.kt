package dev.cardamomlane.core.fleet

/**
 * The answer of a member to a [PeerQuestion].
 *
 * @property head the newest revisions that the answering member knows of
 * @property record the answering member's record if it is newer than the asking member's, else null
 * @property ages one byte for each member of the answering member's record: how long ago that member was last known to
 *   know of no change that the answering member does not know, in units of [AGE_UNIT_MILLIS], rounded up, or [NO_AGE]
 * @property confirmations one bit for each member of the answering member's record, from the lowest bit of each byte:
 *   set if that member is known to have reached [level]
 * @property platformAgeMillis how long ago the platform was last known to show no change that the answering member does
 *   not have, or null if that is too long ago for good standing (see [FleetMachine.isInStanding])
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
    init {
        require(platformAgeMillis == null || platformAgeMillis in 0..MAX_PLATFORM_AGE_MILLIS) {
            "platformAgeMillis must be from 0 to $MAX_PLATFORM_AGE_MILLIS but was $platformAgeMillis"
        }
    }

    /** The encoding of [ages], and the bound of [platformAgeMillis]. */
    public companion object {
        /** The oldest evidence of the platform that an answer can give, far beyond good standing. */
        public const val MAX_PLATFORM_AGE_MILLIS: Long = 86_400_000

        /** The unit of [ages]. */
        public const val AGE_UNIT_MILLIS: Long = 20

        /** The age of a member of which nothing is known, or of which the last evidence is too old to be encoded. */
        public const val NO_AGE: Int = 255
    }
}
